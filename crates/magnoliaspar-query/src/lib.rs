//! The operators' query and command language.
//!
//! [`Statement::parse`] parses a query or a command. The result of a query is an [`Answer`], a
//! table with the columns of the query's [`Subject`]. The requests and responses of the operators'
//! HTTP interface are in [`api`].

mod answer;
pub mod api;
mod change;
mod column;
mod command;
mod condition;
mod grammar;
mod lexeme;
mod literal;
mod query;
mod statement;
mod syntax_error;
mod table;
mod timeline;

pub use self::answer::{Answer, AnswerGap, Cell, CommandResult, Winner};
pub use self::column::{Column, ColumnKind};
pub use self::command::{Assignment, Command, CommandKind, DrainTarget, EntityRef, LoadTarget};
pub use self::condition::{Condition, Operator};
pub use self::literal::Literal;
pub use self::query::{Query, Subject};
pub use self::statement::Statement;
pub use self::syntax_error::SyntaxError;
