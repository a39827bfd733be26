//! The parsers of commands.

use magnoliaspar_core::{PoolName, RouteName, WorkspaceName};
use magnoliaspar_declaration::{EntityId, EntityKind};
use winnow::Parser;
use winnow::combinator::separated;

use crate::lexeme::{Input, Lexeme, LexemeKind, ParseResult, accept, fail, keyword, lexeme};
use crate::syntax_error::SpannedError;
use crate::{Assignment, Command, CommandKind, DrainTarget, EntityRef, LoadTarget};

use super::clause::backtrack_unless;
use super::end;
use super::value::{count, literal, name, word};

pub(super) fn drain(input: &mut Input) -> ParseResult<Command> {
    let target = drain_target(input)?;
    finish(input, CommandKind::Drain(target))
}

pub(super) fn undrain(input: &mut Input) -> ParseResult<Command> {
    let target = drain_target(input)?;
    finish(input, CommandKind::Undrain(target))
}

pub(super) fn add(input: &mut Input) -> ParseResult<Command> {
    keyword(input, &["server"])?;
    let server = name(input, "the name of a server")?;
    keyword(input, &["to"])?;
    keyword(input, &["pool"])?;
    let pool = name(input, "the name of a pool")?;
    keyword(input, &["in"])?;
    keyword(input, &["zone"])?;
    let zone = name(input, "the name of an availability zone")?;
    keyword(input, &["at"])?;
    let found = address_lexeme(input)?;
    let text = match &found.kind {
        LexemeKind::Quoted(text) => text,
        _ => found.text,
    };
    let Ok(address) = text.parse() else {
        let err = SpannedError::new(found.start, found.end(), "this is not a socket address");
        return fail(err.with_hint("write an IP address and a port, such as 10.0.0.5:8080"));
    };
    finish(input, CommandKind::AddServer { server, pool, zone, address })
}

pub(super) fn change(input: &mut Input) -> ParseResult<Command> {
    let target = entity(input)?;
    keyword(input, &["set"])?;
    let comma = |input: &mut Input| accept(input, ",").and_then(backtrack_unless);
    let assignments: Vec<Assignment> = separated(1.., assignment, comma).parse_next(input)?;
    let command = CommandKind::Change { target, assignments };
    finish_after(input, command, &[",", "if"])
}

pub(super) fn quarantine(input: &mut Input) -> ParseResult<Command> {
    let fingerprint = word(input, "a fingerprint")?;
    finish(input, CommandKind::Quarantine { fingerprint })
}

pub(super) fn release(input: &mut Input) -> ParseResult<Command> {
    let fingerprint = word(input, "a fingerprint")?;
    finish(input, CommandKind::Release { fingerprint })
}

pub(super) fn load(input: &mut Input) -> ParseResult<Command> {
    keyword(input, &["model"])?;
    let model = name(input, "the name of a model")?;
    keyword(input, &["version"])?;
    let version = word(input, "the version of a model")?;
    let mut adapters = Vec::new();
    let mut weight_bytes = None;
    let mut clause = keyword(input, &["adapters", "size", "on"])?;
    if clause == "adapters" {
        let adapter = |input: &mut Input| word(input, "an adapter");
        let comma = |input: &mut Input| accept(input, ",").and_then(backtrack_unless);
        adapters = separated(1.., adapter, comma).parse_next(input)?;
        clause = keyword(input, &["size", "on"])?;
    }
    if clause == "size" {
        weight_bytes = Some(count(input, "the size of the weights in bytes")?);
        keyword(input, &["on"])?;
    }
    let target = match keyword(input, &["server", "pool"])? {
        "server" => LoadTarget::Server(name(input, "the name of a server")?),
        _ => LoadTarget::Pool(name(input, "the name of a pool")?),
    };
    finish(input, CommandKind::LoadModel { model, version, adapters, weight_bytes, target })
}

fn drain_target(input: &mut Input) -> ParseResult<DrainTarget> {
    match keyword(input, &["server", "instance"])? {
        "server" => name(input, "the name of a server").map(DrainTarget::Server),
        _ => name(input, "the name of an instance").map(DrainTarget::Instance),
    }
}

fn entity(input: &mut Input) -> ParseResult<EntityRef> {
    let id = match keyword(input, &["route", "pool", "workspace", "server"])? {
        "route" => {
            let route: RouteName = name(input, "the name of a route")?;
            EntityId::new(EntityKind::Route, route.as_str())
        }
        "pool" => {
            let pool: PoolName = name(input, "the name of a pool")?;
            EntityId::new(EntityKind::Pool, pool.as_str())
        }
        "workspace" => {
            let workspace: WorkspaceName = name(input, "the name of a workspace")?;
            EntityId::new(EntityKind::Workspace, workspace.as_str())
        }
        _ => return name(input, "the name of a server").map(EntityRef::Server),
    };
    Ok(EntityRef::Declared(id))
}

fn assignment(input: &mut Input) -> ParseResult<Assignment> {
    let found = lexeme(input)?;
    if found.kind != LexemeKind::Atom {
        return fail(SpannedError::expected(found.start, found.text, &["the name of a field"]));
    }
    let mut path: Vec<Box<str>> = Vec::new();
    for segment in found.text.split('.') {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-');
        if segment.is_empty() || !segment.chars().all(is_plain) {
            let err =
                SpannedError::new(found.start, found.end(), "this is not the path of a field");
            return fail(err.with_hint("join field names with dots, as in weights.goodput"));
        }
        path.push(segment.into());
    }
    keyword(input, &["="])?;
    let value = literal(input)?;
    Ok(Assignment { path: path.into(), value })
}

fn address_lexeme<'a>(input: &mut Input<'a>) -> ParseResult<Lexeme<'a>> {
    let found = lexeme(input)?;
    match found.kind {
        LexemeKind::Atom | LexemeKind::Quoted(_) => Ok(found),
        _ => fail(SpannedError::expected(found.start, found.text, &["an address"])),
    }
}

fn finish(input: &mut Input, kind: CommandKind) -> ParseResult<Command> {
    finish_after(input, kind, &["if"])
}

/// Parses the optional condition `if version N` and the end of the statement.
///
/// `words` are the alternatives named in the error.
fn finish_after(input: &mut Input, kind: CommandKind, words: &[&str]) -> ParseResult<Command> {
    if !accept(input, "if")? {
        end(input, words)?;
        return Ok(Command { kind, expected_version: None });
    }
    keyword(input, &["version"])?;
    let version = count(input, "the number of a version")?;
    end(input, &[])?;
    Ok(Command { kind, expected_version: Some(version) })
}
