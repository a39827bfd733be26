//! The parsers of names and values.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use magnoliaspar_json::parse_duration;
use winnow::Parser;
use winnow::combinator::separated;

use crate::lexeme::{
    Input, Lexeme, LexemeKind, ParseResult, accept, fail, is_reserved, keyword, lexeme, peek,
};
use crate::syntax_error::SpannedError;
use crate::{ColumnKind, Literal};

use super::clause::backtrack_unless;

/// Parses a name; `what` describes the expected name in the error.
pub(super) fn name<T>(input: &mut Input, what: &str) -> ParseResult<T>
where
    T: for<'t> TryFrom<&'t str, Error: Display>,
{
    let found = lexeme(input)?;
    let Some(text) = text_of(&found) else {
        return fail(SpannedError::expected(found.start, found.text, &[what]));
    };
    match T::try_from(text) {
        Ok(name) => Ok(name),
        Err(err) => fail(SpannedError::new(found.start, found.end(), err.to_string())),
    }
}

/// Parses a non-empty text; `what` describes the expected text in the error.
pub(super) fn word(input: &mut Input, what: &str) -> ParseResult<Box<str>> {
    let found = lexeme(input)?;
    match text_of(&found) {
        Some("") => fail(SpannedError::new(found.start, found.end(), format!("{what} is empty"))),
        Some(text) => Ok(text.into()),
        None => fail(SpannedError::expected(found.start, found.text, &[what])),
    }
}

/// Parses a whole number; `what` describes the expected number in the error.
pub(super) fn count<T: FromStr>(input: &mut Input, what: &str) -> ParseResult<T> {
    let found = lexeme(input)?;
    match found.word().parse() {
        Ok(count) if found.word().bytes().all(|byte| byte.is_ascii_digit()) => Ok(count),
        _ => fail(SpannedError::expected(found.start, found.text, &[what])),
    }
}

/// Parses a duration.
pub(super) fn duration(input: &mut Input) -> ParseResult<Duration> {
    let found = lexeme(input)?;
    match parse_duration(found.word()) {
        Ok(duration) => Ok(duration),
        Err(err) => fail(SpannedError::new(found.start, found.end(), err.to_string())),
    }
}

/// Parses a value that can be compared with the cells of a column of type `kind`.
pub(super) fn value_of_kind(input: &mut Input, kind: ColumnKind) -> ParseResult<Literal> {
    match kind {
        ColumnKind::Text | ColumnKind::List => text(input),
        ColumnKind::Duration => duration(input).map(Literal::Duration),
        ColumnKind::Boolean => boolean(input),
        ColumnKind::Count | ColumnKind::Number => number(input),
    }
}

/// Parses a value of any type.
pub(super) fn literal(input: &mut Input) -> ParseResult<Literal> {
    let next = peek(input)?;
    match next.word() {
        "[" => return list(input),
        "true" | "false" => return boolean(input),
        _ => {}
    }
    if parse_number(next.word()).is_some() {
        return number(input);
    }
    if parse_duration(next.word()).is_ok() {
        return duration(input).map(Literal::Duration);
    }
    text(input)
}

fn list(input: &mut Input) -> ParseResult<Literal> {
    keyword(input, &["["])?;
    if accept(input, "]")? {
        return Ok(Literal::List([].into()));
    }
    let comma = |input: &mut Input| accept(input, ",").and_then(backtrack_unless);
    let elements: Vec<Literal> = separated(1.., literal, comma).parse_next(input)?;
    keyword(input, &[",", "]"])?;
    Ok(Literal::List(elements.into()))
}

fn text(input: &mut Input) -> ParseResult<Literal> {
    let found = lexeme(input)?;
    match text_of(&found) {
        Some(text) => Ok(Literal::Text(text.into())),
        None => fail(SpannedError::expected(found.start, found.text, &["a text"])),
    }
}

fn boolean(input: &mut Input) -> ParseResult<Literal> {
    let word = keyword(input, &["true", "false"])?;
    Ok(Literal::Boolean(word == "true"))
}

fn number(input: &mut Input) -> ParseResult<Literal> {
    let found = lexeme(input)?;
    match parse_number(found.word()) {
        Some(number) => Ok(Literal::Number(number)),
        None => fail(SpannedError::expected(found.start, found.text, &["a number"])),
    }
}

/// Parses a finite decimal number without an exponent.
fn parse_number(text: &str) -> Option<f64> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b'-'));
    let number: f64 = text.parse().ok()?;
    (is_number && number.is_finite()).then_some(number)
}

fn text_of<'l>(lexeme: &'l Lexeme) -> Option<&'l str> {
    match &lexeme.kind {
        LexemeKind::Quoted(text) => Some(text),
        LexemeKind::Atom if !is_reserved(lexeme.text) => Some(lexeme.text),
        _ => None,
    }
}
