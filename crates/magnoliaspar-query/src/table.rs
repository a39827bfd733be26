//! The text form of an answer: a table for people.

use std::fmt;
use std::time::Duration;

use magnoliaspar_json::format_duration;

use crate::{Answer, Cell, Column, ColumnKind, CommandResult};

/// The separator between two columns.
const COLUMN_SEPARATOR: &str = "  ";

impl fmt::Display for Answer {
    /// Writes a table for people, followed by the result of a command, the findings and the gaps.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.columns.is_empty() {
            write_table(f, &self.columns, &self.rows)?;
        }
        match &self.command {
            Some(CommandResult::Accepted { version }) => {
                writeln!(f, "accepted as version {version}")?;
            }
            Some(CommandResult::Conflict { winner }) => {
                writeln!(f, "not accepted, another command was first: {winner}")?;
            }
            None => {}
        }
        write!(f, "{}", self.findings)?;
        for gap in &self.gaps {
            writeln!(f, "-- gap: {}: {}", gap.instance, gap.cause)?;
        }
        Ok(())
    }
}

fn write_table(
    f: &mut fmt::Formatter<'_>,
    columns: &[Column],
    rows: &[Box<[Cell]>],
) -> fmt::Result {
    let mut lines = Vec::with_capacity(rows.len() + 1);
    lines.push(columns.iter().map(|column| column.name.to_string()).collect::<Vec<_>>());
    for row in rows {
        let mut line = Vec::with_capacity(columns.len());
        for (column, cell) in columns.iter().zip(row) {
            line.push(format_cell(column.kind, cell));
        }
        lines.push(line);
    }
    let mut widths = vec![0; columns.len()];
    for line in &lines {
        for (width, text) in widths.iter_mut().zip(line) {
            *width = text.chars().count().max(*width);
        }
    }
    for line in &lines {
        let mut padded = String::new();
        for ((column, width), text) in columns.iter().zip(&widths).zip(line) {
            if is_right_aligned(column.kind) {
                padded.push_str(&format!("{text:>width$}{COLUMN_SEPARATOR}"));
            } else {
                padded.push_str(&format!("{text:<width$}{COLUMN_SEPARATOR}"));
            }
        }
        writeln!(f, "{}", padded.trim_end())?;
    }
    let plural = if rows.len() == 1 { "" } else { "s" };
    writeln!(f, "({} row{plural})", rows.len())
}

/// Formats a cell on one line, with control characters escaped.
fn format_cell(kind: ColumnKind, cell: &Cell) -> String {
    let text = match cell {
        Cell::Count(millis) if kind == ColumnKind::Duration => {
            format_duration(Duration::from_millis(*millis)).into()
        }
        cell => cell.to_string(),
    };
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}

fn is_right_aligned(kind: ColumnKind) -> bool {
    matches!(kind, ColumnKind::Count | ColumnKind::Number | ColumnKind::Duration)
}

#[cfg(test)]
mod tests {
    use crate::{Answer, AnswerGap, Cell, CommandResult, Subject, Winner};

    #[test]
    fn an_answer_is_a_table_with_its_gaps() {
        let mut answer = Answer::new(&Subject::Workspaces);
        answer.push([Cell::text("council"), 3.into(), 200.into(), 17.into()]);
        answer.push([Cell::text("odd\nname"), 1.into(), Cell::Empty, 0.into()]);
        let cause = "no answer".into();
        answer.gaps.push(AnswerGap { instance: "mid-b-1".try_into().unwrap(), cause });
        let expected = "\
workspace  share  concurrency  running
council        3          200       17
odd\\nname      1            -        0
(2 rows)
-- gap: mid-b-1: no answer
";
        assert_eq!(answer.to_string(), expected);
        let text = serde_json::to_string(&answer).unwrap();
        assert_eq!(serde_json::from_str::<Answer>(&text).unwrap(), answer);
    }

    #[test]
    fn the_loser_of_a_conflict_is_told_who_won() {
        let winner = Winner {
            version: 13,
            operator: Some("on-call".into()),
            command: Some("drain server d-1".into()),
            stamp: None,
        };
        let answer = Answer::of_command(CommandResult::Conflict { winner });
        let expected = "not accepted, another command was first: \
                        version 13 by on-call: drain server d-1\n";
        assert_eq!(answer.to_string(), expected);
    }
}
