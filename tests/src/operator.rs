//! An operator who uses the command-line program.

use std::net::SocketAddr;
use std::process::Command;

use serde_json::Value;

/// An operator who runs each command as a separate process.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Path of the command-line program.
    pub program: Box<str>,
    /// The address on which the instance accepts operators.
    pub address: SocketAddr,
    /// The operator's key.
    pub key: Box<str>,
}

/// The exit code and output of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// The exit code.
    pub code: i32,
    /// The standard output.
    pub out: Box<str>,
    /// The standard error output.
    pub err: Box<str>,
}

impl Operator {
    /// Creates an operator who sends commands to the instance at `address`.
    pub fn new(program: &str, address: SocketAddr, key: &str) -> Self {
        Self { program: program.into(), address, key: key.into() }
    }

    /// Runs a command and waits for its end without blocking the stand-ins on this thread.
    pub async fn run(&self, args: &[&str]) -> CommandOutput {
        let mut command = Command::new(&*self.program);
        command.args(args);
        command.env("MAGNOLIASPAR_OPERATORS", self.address.to_string());
        command.env("MAGNOLIASPAR_KEY", &*self.key);
        let ended = actix_rt::task::spawn_blocking(move || command.output()).await;
        let output = ended.expect("the thread ends").expect("the program can be started");
        CommandOutput {
            code: output.status.code().expect("the program ends by itself"),
            out: String::from_utf8_lossy(&output.stdout).into(),
            err: String::from_utf8_lossy(&output.stderr).into(),
        }
    }

    /// Runs a statement of the query language and returns its JSON answer; panics if it fails.
    pub async fn query(&self, text: &str) -> Value {
        let output = self.run(&["query", "--json", text]).await;
        assert_eq!(output.code, 0, "{text}: {}", output.err);
        serde_json::from_str(&output.out).expect("the answer is JSON")
    }

    /// Runs a query and returns one column of its answer as text.
    pub async fn column(&self, text: &str, column: &str) -> Vec<Box<str>> {
        column_of(&self.query(text).await, column)
    }
}

/// Returns one column of an answer as text.
pub fn column_of(answer: &Value, column: &str) -> Vec<Box<str>> {
    let columns = answer["columns"].as_array().expect("an answer has columns");
    let index = columns.iter().position(|known| known["name"] == column);
    let index = index.expect("the column is there");
    let mut texts = Vec::new();
    for row in answer["rows"].as_array().expect("an answer has rows") {
        let text = match &row[index] {
            Value::String(text) => text.as_str().into(),
            other => other.to_string().into(),
        };
        texts.push(text);
    }
    texts
}
