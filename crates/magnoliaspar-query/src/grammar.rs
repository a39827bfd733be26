mod clause;
mod command;
mod value;

use winnow::stream::LocatingSlice;

use crate::lexeme::{Input, LexemeKind, Parsed, fail, keyword, lexeme, peek};
use crate::syntax_error::Fault;
use crate::{Statement, Subject, SyntaxError};

use self::clause::query_clauses;
use self::command::{add, change, drain, load, quarantine, release, undrain};
use self::value::name;

/// The words by which statements begin.
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

/// The words that may follow `quarantine` as a query.
const QUARANTINE_CLAUSES: [&str; 3] = ["where", "limit", ""];

/// Parses a statement as a whole.
pub(crate) fn parse_statement(text: &str) -> Result<Statement, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    match statement(&mut input) {
        Ok(statement) => Ok(statement),
        Err(err) => {
            let whole = Fault::new(0, text.len(), "the statement is incomplete");
            Err(err.into_inner().unwrap_or(whole).of(text))
        }
    }
}

fn statement(input: &mut Input) -> Parsed<Statement> {
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

/// Whether `quarantine` asks a question; followed by a fingerprint it is a command.
fn is_query_of_quarantine(input: &Input) -> Parsed<bool> {
    let next = peek(input)?;
    let is_name = matches!(next.kind, LexemeKind::Quoted(_));
    Ok(!is_name && QUARANTINE_CLAUSES.contains(&next.word()))
}

/// Checks that nothing follows; `words` are what could have.
fn end(input: &mut Input, words: &[&str]) -> Parsed<()> {
    let found = lexeme(input)?;
    if found.kind == LexemeKind::End {
        return Ok(());
    }
    let mut expected = words.to_vec();
    expected.push("the end");
    fail(Fault::expected(found.start, found.text, &expected))
}

#[cfg(test)]
mod tests;
