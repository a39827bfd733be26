//! The parser of the clauses of a query.

use winnow::Parser;
use winnow::combinator::separated;

use crate::lexeme::{Input, ParseResult, accept, fail, keyword, lexeme, peek};
use crate::syntax_error::SpannedError;
use crate::{Condition, Operator, Query, Subject};

use super::end;
use super::value::{count, duration, value_of_kind};

/// Parses the clauses of a query: `where`, `since` and `limit`, all optional and in this order.
pub(super) fn query_clauses(input: &mut Input, subject: Subject) -> ParseResult<Query> {
    let mut rest = vec!["where", "since", "limit"];
    if !subject.supports_since() {
        rest.retain(|word| *word != "since");
    }
    let mut query = Query { subject, conditions: Vec::new(), since: None, limit: None };
    while let Some(word) = next_clause(input, &rest)? {
        match word {
            "where" => query.conditions = conditions(input, &query.subject)?,
            "since" => query.since = Some(duration(input)?),
            _ => query.limit = Some(count(input, "the number of rows")?),
        }
        let taken = rest.iter().position(|known| *known == word).unwrap_or_default();
        rest.drain(..=taken);
        if word == "where" {
            rest.insert(0, "and");
        } else {
            rest.retain(|word| *word != "and");
        }
    }
    end(input, &rest)?;
    Ok(query)
}

/// Consumes the keyword of the next clause if it is one of `rest`.
fn next_clause(input: &mut Input, rest: &[&'static str]) -> ParseResult<Option<&'static str>> {
    let next = peek(input)?;
    let Some(word) = rest.iter().copied().find(|word| *word == next.word()) else {
        return Ok(None);
    };
    lexeme(input)?;
    Ok(Some(word))
}

fn conditions(input: &mut Input, subject: &Subject) -> ParseResult<Vec<Condition>> {
    let condition = |input: &mut Input| condition(input, subject);
    let and = |input: &mut Input| accept(input, "and").and_then(backtrack_unless);
    separated(1.., condition, and).parse_next(input)
}

/// Backtracks unless a separator was found, which ends a list without an error.
pub(super) fn backtrack_unless(has_separator: bool) -> ParseResult<()> {
    if has_separator {
        return Ok(());
    }
    Err(winnow::error::ErrMode::Backtrack(SpannedError::new(0, 0, "no separator")))
}

fn condition(input: &mut Input, subject: &Subject) -> ParseResult<Condition> {
    let found = lexeme(input)?;
    let fields = subject.fields();
    let Some((field, kind)) = fields.iter().find(|(field, _)| *field == found.word()) else {
        let names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
        return fail(SpannedError::expected(found.start, found.text, &names));
    };
    let symbol = keyword(input, Operator::of_kind(*kind))?;
    let operator = Operator::ALL.into_iter().find(|operator| operator.symbol() == symbol);
    let value = value_of_kind(input, *kind)?;
    Ok(Condition { field: (*field).into(), operator: operator.unwrap_or(Operator::Equal), value })
}
