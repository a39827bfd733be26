use std::fmt;

use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, repeat};
use winnow::error::{ErrMode, ParserError};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, one_of, take_while};
use winnow::{ModalResult, Parser};

use crate::syntax_error::Fault;

/// The text of a statement, with the place that has been reached.
pub(crate) type Input<'a> = LocatingSlice<&'a str>;

/// What a parser returns.
pub(crate) type Parsed<T> = ModalResult<T, Fault>;

/// The words that mean something wherever a name could stand.
const RESERVED: [&str; 6] = ["where", "and", "since", "limit", "if", "on"];

/// The smallest part of a statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Lexeme<'a> {
    /// Where it starts, in bytes.
    pub(crate) start: usize,
    /// The text as it is written.
    pub(crate) text: &'a str,
    /// What kind of part it is.
    pub(crate) kind: LexemeKind,
}

/// The kinds of parts of a statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum LexemeKind {
    /// Letters, digits and the other characters of names.
    Atom,
    /// A text in quotes, without them.
    Quoted(Box<str>),
    /// An operator or a separator.
    Symbol,
    /// The end of the statement.
    End,
}

impl Lexeme<'_> {
    /// Returns the end, in bytes.
    pub(crate) fn end(&self) -> usize {
        self.start + self.text.len()
    }

    /// Returns the word or symbol, or nothing for a quoted text.
    pub(crate) fn word(&self) -> &str {
        match self.kind {
            LexemeKind::Quoted(_) => "",
            _ => self.text,
        }
    }
}

impl<'a> ParserError<Input<'a>> for Fault {
    type Inner = Self;

    fn from_input(input: &Input<'a>) -> Self {
        let start = input.current_token_start();
        let end = start + input.chars().next().map_or(0, char::len_utf8);
        Self::new(start, end, "this is not part of the language")
    }

    fn into_inner(self) -> Result<Self, Self> {
        Ok(self)
    }
}

/// Takes the next part of a statement.
pub(crate) fn lexeme<'a>(input: &mut Input<'a>) -> Parsed<Lexeme<'a>> {
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

/// Returns the next part of a statement without taking it.
pub(crate) fn peek<'a>(input: &Input<'a>) -> Parsed<Lexeme<'a>> {
    lexeme(&mut input.clone())
}

/// Takes one of several words or symbols.
pub(crate) fn keyword(input: &mut Input, words: &[&'static str]) -> Parsed<&'static str> {
    let found = peek(input)?;
    for word in words {
        if found.word() == *word {
            lexeme(input)?;
            return Ok(word);
        }
    }
    fail(Fault::expected(found.start, found.text, words))
}

/// Takes `word` if it comes next.
pub(crate) fn accept(input: &mut Input, word: &'static str) -> Parsed<bool> {
    let is_next = peek(input)?.word() == word;
    if is_next {
        lexeme(input)?;
    }
    Ok(is_next)
}

/// Fails for good, without trying alternatives.
pub(crate) fn fail<T>(fault: Fault) -> Parsed<T> {
    Err(ErrMode::Cut(fault))
}

/// Whether names may have the character.
pub(crate) fn is_atom_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/')
}

fn quoted<'a>(input: &mut Input<'a>) -> Parsed<Lexeme<'a>> {
    let start = input.current_token_start();
    let rest: &'a str = input.as_ref();
    let escaped = ('\\', one_of(['"', '\\'])).map(|(_, c)| c);
    let plain = any.verify(|c| !matches!(c, '"' | '\\'));
    let content = repeat(0.., alt((plain, escaped))).fold(String::new, |mut text, c| {
        text.push(c);
        text
    });
    let result: Parsed<String> = delimited('"', content, '"').parse_next(input);
    let Ok(content) = result else {
        let fault = Fault::new(start, start + rest.len(), "the text in quotes has no end");
        return fail(fault.with_hint("write \\\" for a quote and \\\\ for a backslash"));
    };
    let text = &rest[..input.current_token_start() - start];
    Ok(Lexeme { start, text, kind: LexemeKind::Quoted(content.into()) })
}

/// A text that is written in quotes where it has to be.
#[derive(Debug)]
pub(crate) struct Quoted<'a> {
    text: &'a str,
    is_quoted: bool,
}

impl<'a> Quoted<'a> {
    /// Writes a text in quotes.
    pub(crate) fn text(text: &'a str) -> Self {
        Self { text, is_quoted: true }
    }

    /// Writes a name, in quotes only if it would be taken for something else.
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

/// Whether a bare word is reserved, so that a name has to be quoted.
pub(crate) fn is_reserved(word: &str) -> bool {
    RESERVED.contains(&word)
}
