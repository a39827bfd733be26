//! The conditions of a query and their evaluation.

use std::cmp::Ordering;
use std::fmt;

use crate::{Cell, ColumnKind, Literal};

/// A condition on one column.
#[derive(Debug, Clone, PartialEq)]
pub struct Condition {
    /// The name of the column.
    pub field: Box<str>,
    /// The comparison operator.
    pub operator: Operator,
    /// The value that the cell is compared with.
    pub value: Literal,
}

impl Condition {
    /// Returns true if the condition accepts a cell of a column of type `kind`.
    ///
    /// An empty cell is not equal to any value, and neither less nor greater than any.
    pub fn accepts(&self, kind: ColumnKind, cell: &Cell) -> bool {
        if let Cell::List(elements) = cell {
            let Literal::Text(text) = &self.value else { return false };
            return elements.contains(text) != (self.operator == Operator::NotEqual);
        }
        if self.operator == Operator::Contains {
            let (Cell::Text(text), Literal::Text(part)) = (cell, &self.value) else { return false };
            return text.contains(&**part);
        }
        match compare(kind, cell, &self.value) {
            Some(ordering) => self.operator.accepts(ordering),
            None => self.operator == Operator::NotEqual,
        }
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.field, self.operator.symbol(), self.value)
    }
}

/// The comparison operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operator {
    /// The cell equals the value; a list contains the value.
    Equal,
    /// The cell differs from the value; a list does not contain the value.
    NotEqual,
    /// The cell is less than the value.
    Less,
    /// The cell is at most the value.
    AtMost,
    /// The cell is greater than the value.
    Greater,
    /// The cell is at least the value.
    AtLeast,
    /// The cell's text contains the value as a substring; a list contains the value.
    Contains,
}

impl Operator {
    /// All operators.
    pub(crate) const ALL: [Self; 7] = [
        Self::Equal,
        Self::NotEqual,
        Self::AtMost,
        Self::Less,
        Self::AtLeast,
        Self::Greater,
        Self::Contains,
    ];

    /// Returns the operator as written in statements.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Less => "<",
            Self::AtMost => "<=",
            Self::Greater => ">",
            Self::AtLeast => ">=",
            Self::Contains => "contains",
        }
    }

    /// Returns the symbols of the operators that apply to columns of type `kind`.
    pub(crate) fn of_kind(kind: ColumnKind) -> &'static [&'static str] {
        match kind {
            ColumnKind::Text | ColumnKind::List => &["=", "!=", "contains"],
            ColumnKind::Boolean => &["=", "!="],
            ColumnKind::Count | ColumnKind::Number | ColumnKind::Duration => {
                &["=", "!=", "<", "<=", ">", ">="]
            }
        }
    }

    fn accepts(self, ordering: Ordering) -> bool {
        match self {
            Self::Equal => ordering.is_eq(),
            Self::NotEqual => ordering.is_ne(),
            Self::Less => ordering.is_lt(),
            Self::AtMost => ordering.is_le(),
            Self::Greater => ordering.is_gt(),
            Self::AtLeast => ordering.is_ge(),
            Self::Contains => false,
        }
    }
}

fn compare(kind: ColumnKind, cell: &Cell, value: &Literal) -> Option<Ordering> {
    match (cell, value) {
        (Cell::Text(text), Literal::Text(value)) => Some(text.cmp(value)),
        (Cell::Boolean(cell), Literal::Boolean(value)) => Some(cell.cmp(value)),
        (Cell::Count(millis), Literal::Duration(value)) if kind == ColumnKind::Duration => {
            Some(u128::from(*millis).cmp(&value.as_millis()))
        }
        (Cell::Count(count), Literal::Number(value)) => (*count as f64).partial_cmp(value),
        (Cell::Number(number), Literal::Number(value)) => number.partial_cmp(value),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use crate::{Answer, Cell, Query, Statement};

    fn query(text: &str) -> Query {
        match Statement::parse(text).unwrap() {
            Statement::Query(query) => query,
            Statement::Command(command) => panic!("{command} is a command"),
        }
    }

    fn servers(text: &str) -> Vec<String> {
        let query = query(text);
        let mut answer = Answer::new(&query.subject);
        let mut push = |name: &str, model: Cell, queue: u64, age: u64| {
            let mut row = vec![Cell::Empty; answer.columns.len()];
            row[0] = Cell::text(name);
            row[7] = model;
            row[12] = Cell::Count(queue);
            row[13] = Cell::Count(age);
            answer.push(row);
        };
        push("a-1", Cell::text("lm"), 0, 40);
        push("a-2", Cell::Empty, 3, 2_000);
        push("b-1", Cell::text("lm"), 9, 90_000);
        query.apply(&mut answer);
        answer.rows.iter().map(|row| row[0].to_string()).collect()
    }

    #[test]
    fn rows_are_kept_by_conditions_and_limit() {
        assert_eq!(servers("servers where server = a-2"), ["a-2"]);
        assert_eq!(servers("servers where server contains \"-1\""), ["a-1", "b-1"]);
        assert_eq!(servers("servers where queue >= 3 and report_age < 1m"), ["a-2"]);
        assert_eq!(servers("servers where report_age > 1s"), ["a-2", "b-1"]);
        assert_eq!(servers("servers where model != lm"), ["a-2"]);
        assert_eq!(servers("servers where queue != 3 limit 1"), ["a-1"]);
        assert_eq!(servers("servers where model = other"), [""; 0]);
    }

    #[test]
    fn a_list_has_or_lacks_a_value() {
        let rows = |text: &str| {
            let query = query(text);
            let mut answer = Answer::new(&query.subject);
            let mut row = vec![Cell::Empty; answer.columns.len()];
            row[4] = Cell::List(["tone".into()].into());
            answer.push(row);
            query.apply(&mut answer);
            answer.rows.len()
        };
        assert_eq!(rows("routes where adapters = tone"), 1);
        assert_eq!(rows("routes where adapters contains tone"), 1);
        assert_eq!(rows("routes where adapters != tone"), 0);
        assert_eq!(rows("routes where adapters = other"), 0);
    }
}
