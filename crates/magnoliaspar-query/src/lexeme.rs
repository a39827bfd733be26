//! The lexer of statements, and the quoting of names.

use std::fmt;

use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, repeat};
use winnow::error::{ErrMode, ParserError};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, one_of, take_while};
use winnow::{ModalResult, Parser};

use crate::syntax_error::SpannedError;

/// The rest of the text of a statement, with its byte offset.
pub(crate) type Input<'a> = LocatingSlice<&'a str>;

/// The result of a parser.
pub(crate) type ParseResult<T> = ModalResult<T, SpannedError>;

/// The reserved keywords; a name equal to one of them must be quoted.
const RESERVED: [&str; 6] = ["where", "and", "since", "limit", "if", "on"];

/// A lexeme: the smallest unit of a statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Lexeme<'a> {
    /// Byte offset of its start.
    pub(crate) start: usize,
    /// The text as written, with any quotes.
    pub(crate) text: &'a str,
    /// The kind of lexeme.
    pub(crate) kind: LexemeKind,
}

/// The kinds of lexemes.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum LexemeKind {
    /// A bare word of letters, digits and the other characters allowed in names.
    Atom,
    /// The content of a quoted text, unescaped.
    Quoted(Box<str>),
    /// An operator or a separator.
    Symbol,
    /// The end of the statement.
    End,
}

impl Lexeme<'_> {
    /// Returns the byte offset of its end.
    pub(crate) fn end(&self) -> usize {
        self.start + self.text.len()
    }

    /// Returns the bare word or symbol, and the empty string for a quoted text or the end.
    pub(crate) fn word(&self) -> &str {
        match self.kind {
            LexemeKind::Quoted(_) => "",
            _ => self.text,
        }
    }
}

impl<'a> ParserError<Input<'a>> for SpannedError {
    type Inner = Self;

    fn from_input(input: &Input<'a>) -> Self {
        let start = input.current_token_start();
        let end = start + input.chars().next().map_or(0, char::len_utf8);
        Self::new(start, end, "unexpected character")
    }

    fn into_inner(self) -> Result<Self, Self> {
        Ok(self)
    }
}

/// Parses the next lexeme, skipping white space before it.
pub(crate) fn lexeme<'a>(input: &mut Input<'a>) -> ParseResult<Lexeme<'a>> {
    multispace0.parse_next(input)?;
    if input.starts_with('"') {
        return quoted(input);
    }
    let start = input.current_token_start();
    if input.is_empty() {
        return Ok(Lexeme { start, text: "", kind: LexemeKind::End });
    }
    let atom = take_while(1.., is_atom_char).map(|text| (text, LexemeKind::Atom));
    let symbol = alt(("!=", "<=", ">=", "=", "<", ">", ",", "[", "]"))
        .map(|text| (text, LexemeKind::Symbol));
    let (text, kind) = alt((atom, symbol)).parse_next(input)?;
    Ok(Lexeme { start, text, kind })
}

/// Returns the next lexeme without consuming it.
pub(crate) fn peek<'a>(input: &Input<'a>) -> ParseResult<Lexeme<'a>> {
    lexeme(&mut input.clone())
}

/// Parses one of several keywords or symbols.
pub(crate) fn keyword(input: &mut Input, words: &[&'static str]) -> ParseResult<&'static str> {
    let found = peek(input)?;
    for word in words {
        if found.word() == *word {
            lexeme(input)?;
            return Ok(word);
        }
    }
    fail(SpannedError::expected(found.start, found.text, words))
}

/// Consumes `word` if it is the next lexeme, and returns true if it was.
pub(crate) fn accept(input: &mut Input, word: &'static str) -> ParseResult<bool> {
    let is_next = peek(input)?.word() == word;
    if is_next {
        lexeme(input)?;
    }
    Ok(is_next)
}

/// Fails without backtracking to alternatives.
pub(crate) fn fail<T>(err: SpannedError) -> ParseResult<T> {
    Err(ErrMode::Cut(err))
}

/// Returns true if bare words may contain the character.
pub(crate) fn is_atom_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/')
}

fn quoted<'a>(input: &mut Input<'a>) -> ParseResult<Lexeme<'a>> {
    let start = input.current_token_start();
    let rest: &'a str = input.as_ref();
    let escaped = ('\\', one_of(['"', '\\'])).map(|(_, c)| c);
    let plain = any.verify(|c| !matches!(c, '"' | '\\'));
    let content = repeat(0.., alt((plain, escaped))).fold(String::new, |mut text, c| {
        text.push(c);
        text
    });
    let result: ParseResult<String> = delimited('"', content, '"').parse_next(input);
    let Ok(content) = result else {
        let err = SpannedError::new(start, start + rest.len(), "the text in quotes has no end");
        return fail(err.with_hint("write \\\" for a quote and \\\\ for a backslash"));
    };
    let text = &rest[..input.current_token_start() - start];
    Ok(Lexeme { start, text, kind: LexemeKind::Quoted(content.into()) })
}

/// A text that is displayed in quotes where necessary.
#[derive(Debug)]
pub(crate) struct Quoted<'a> {
    text: &'a str,
    is_quoted: bool,
}

impl<'a> Quoted<'a> {
    /// Creates a text that is always quoted.
    pub(crate) fn text(text: &'a str) -> Self {
        Self { text, is_quoted: true }
    }

    /// Creates a name that is quoted only if it would not parse as a bare word.
    pub(crate) fn name(text: &'a str) -> Self {
        let is_plain = !text.is_empty() && text.chars().all(is_atom_char);
        Self { text, is_quoted: !is_plain || RESERVED.contains(&text) }
    }
}

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_quoted {
            return f.write_str(self.text);
        }
        write!(f, "\"{}\"", self.text.replace('\\', "\\\\").replace('"', "\\\""))
    }
}

/// Returns true if `word` is a reserved keyword, which must be quoted as a name.
pub(crate) fn is_reserved(word: &str) -> bool {
    RESERVED.contains(&word)
}
