//! The parser of statements.

mod clause;
mod command;
mod value;

use winnow::stream::LocatingSlice;

use crate::lexeme::{Input, LexemeKind, ParseResult, fail, keyword, lexeme, peek};
use crate::syntax_error::SpannedError;
use crate::{Statement, Subject, SyntaxError};

use self::clause::query_clauses;
use self::command::{add, change, drain, load, quarantine, release, undrain};
use self::value::name;

/// The keywords that statements begin with.
const STATEMENTS: [&str; 18] = [
    "running",
    "why",
    "servers",
    "instances",
    "routes",
    "pools",
    "workspaces",
    "config",
    "claims",
    "orders",
    "quarantine",
    "timeline",
    "drain",
    "undrain",
    "add",
    "change",
    "release",
    "load",
];

/// The lexemes that may follow `quarantine` in a query; the empty one is the end.
const QUARANTINE_CLAUSES: [&str; 3] = ["where", "limit", ""];

/// Parses a complete statement.
pub(crate) fn parse_statement(text: &str) -> Result<Statement, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    match statement(&mut input) {
        Ok(statement) => Ok(statement),
        Err(err) => {
            let whole = SpannedError::new(0, text.len(), "the statement is incomplete");
            Err(err.into_inner().unwrap_or(whole).with_text(text))
        }
    }
}

fn statement(input: &mut Input) -> ParseResult<Statement> {
    let subject = match keyword(input, &STATEMENTS)? {
        "drain" => return drain(input).map(Statement::Command),
        "undrain" => return undrain(input).map(Statement::Command),
        "add" => return add(input).map(Statement::Command),
        "change" => return change(input).map(Statement::Command),
        "release" => return release(input).map(Statement::Command),
        "load" => return load(input).map(Statement::Command),
        "quarantine" if !is_query_of_quarantine(input)? => {
            return quarantine(input).map(Statement::Command);
        }
        "quarantine" => Subject::Quarantine,
        "why" => Subject::Why(name(input, "the identifier of a request")?),
        "servers" => Subject::Servers,
        "instances" => Subject::Instances,
        "routes" => Subject::Routes,
        "pools" => Subject::Pools,
        "workspaces" => Subject::Workspaces,
        "config" => Subject::Config,
        "claims" => Subject::Claims,
        "orders" => Subject::Orders,
        "timeline" => Subject::Timeline,
        _ => Subject::Running,
    };
    query_clauses(input, subject).map(Statement::Query)
}

/// Returns true if `quarantine` begins a query; followed by a fingerprint it is a command.
fn is_query_of_quarantine(input: &Input) -> ParseResult<bool> {
    let next = peek(input)?;
    let is_name = matches!(next.kind, LexemeKind::Quoted(_));
    Ok(!is_name && QUARANTINE_CLAUSES.contains(&next.word()))
}

/// Checks that the statement ends here; `words` are the alternatives named in the error.
fn end(input: &mut Input, words: &[&str]) -> ParseResult<()> {
    let found = lexeme(input)?;
    if found.kind == LexemeKind::End {
        return Ok(());
    }
    let mut expected = words.to_vec();
    expected.push("the end");
    fail(SpannedError::expected(found.start, found.text, &expected))
}

#[cfg(test)]
mod tests;
