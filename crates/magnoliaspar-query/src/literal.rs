//! The literal values of a statement.

use std::fmt;
use std::time::Duration;

use magnoliaspar_json::format_duration;
use serde_json::{Number, Value, json};

use crate::lexeme::Quoted;

/// A value in a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Literal {
    /// A text.
    Text(Box<str>),
    /// A number.
    Number(f64),
    /// A duration.
    Duration(Duration),
    /// True or false.
    Boolean(bool),
    /// A list.
    List(Box<[Literal]>),
}

impl Literal {
    /// Returns the JSON value used in declarations.
    pub fn to_json(&self) -> Value {
        match self {
            Self::Text(text) => json!(text),
            Self::Number(number) => number_to_json(*number),
            Self::Duration(duration) => json!(format_duration(*duration)),
            Self::Boolean(value) => json!(value),
            Self::List(elements) => elements.iter().map(Self::to_json).collect(),
        }
    }
}

impl fmt::Display for Literal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => write!(f, "{}", Quoted::text(text)),
            Self::Number(number) => write!(f, "{number}"),
            Self::Duration(duration) => f.write_str(&format_duration(*duration)),
            Self::Boolean(value) => write!(f, "{value}"),
            Self::List(elements) => {
                f.write_str("[")?;
                for (index, element) in elements.iter().enumerate() {
                    if index > 0 {
                        f.write_str(", ")?;
                    }
                    write!(f, "{element}")?;
                }
                f.write_str("]")
            }
        }
    }
}

/// Converts a number to JSON; whole numbers become integers, as in declarations.
fn number_to_json(number: f64) -> Value {
    if number.fract() == 0.0 && number.abs() < 2f64.powi(53) {
        return json!(number as i64);
    }
    Number::from_f64(number).map_or(Value::Null, Value::Number)
}
