//! Conversion of the assignments of a `change` command into a change of the declarations.

use magnoliaspar_core::{Finding, Findings};
use magnoliaspar_declaration::{Declarations, Document, DocumentDelta, EntityId, EntityKind};
use magnoliaspar_json::child_path;
use serde_json::{Map, Value};

use crate::Assignment;

/// The fields of a route that are not nested in its `completion` or `service` object.
const TOP_LEVEL_ROUTE_FIELDS: [&str; 3] = ["completion", "service", "limits"];

/// The two weights of a route. They add up to 1, so that one of them may be omitted.
const ROUTE_WEIGHTS: [&str; 2] = ["wasted_prefill", "goodput"];

impl Assignment {
    /// Returns the change that `assignments` make to the declared entity `id`.
    ///
    /// The resulting document is validated as a whole.
    pub fn delta(
        assignments: &[Self],
        id: &EntityId,
        document: &Document,
    ) -> Result<DocumentDelta, Findings> {
        let Some(value) = document.entities.get(id) else {
            return Err(Finding::at(id.path(), "this is not declared").into());
        };
        let mut findings = Findings::new();
        let mut value = value.clone();
        for assignment in assignments {
            let path = full_path(assignment, id, &value);
            remove_complementary_weight(&mut value, &path, assignments);
            findings.extend(assign(&mut value, &path, assignment, id));
        }
        let mut target = document.clone();
        target.entities.insert(id.clone(), value);
        if let Err(found) = Declarations::try_from(&target) {
            findings.append(found);
        }
        findings.into_result(document.diff(&target))
    }
}

/// Returns the full path of the assigned field within the declared entity.
///
/// For routes, the leading `completion` or `service` may be omitted.
fn full_path<'a>(assignment: &'a Assignment, id: &EntityId, value: &Value) -> Vec<&'a str> {
    let mut path: Vec<&str> = assignment.path.iter().map(|name| &**name).collect();
    let is_inner = path.first().is_some_and(|first| !TOP_LEVEL_ROUTE_FIELDS.contains(first));
    if id.kind() == Some(EntityKind::Route) && is_inner {
        let target = if value.get("service").is_some() { "service" } else { "completion" };
        path.insert(0, target);
    }
    path
}

/// Removes the weight that is not assigned, so that its value follows from the assigned one.
fn remove_complementary_weight(value: &mut Value, path: &[&str], assignments: &[Assignment]) {
    let [.., "weights", weight] = path else { return };
    let Some(other) = ROUTE_WEIGHTS.into_iter().find(|other| other != weight) else { return };
    let is_assigned =
        |assignment: &Assignment| assignment.path.last().is_some_and(|last| **last == *other);
    if assignments.iter().any(is_assigned) {
        return;
    }
    if let Some(Value::Object(weights)) = value.pointer_mut("/completion/weights") {
        weights.remove(other);
    }
}

fn assign(
    value: &mut Value,
    path: &[&str],
    assignment: &Assignment,
    id: &EntityId,
) -> Option<Finding> {
    let mut place = id.path();
    let mut current = value;
    for name in path {
        place = child_path(&place, name);
        let Value::Object(members) = current else {
            return Some(Finding::at(place, "the value around this field is not an object"));
        };
        current = members.entry(*name).or_insert_with(|| Value::Object(Map::new()));
    }
    *current = assignment.value.to_json();
    None
}

#[cfg(test)]
mod tests {
    use magnoliaspar_declaration::Document;
    use serde_json::json;

    use crate::{Assignment, CommandKind, EntityRef, Statement};

    fn delta(command: &str) -> Result<serde_json::Value, String> {
        let text = include_str!("../../../examples/midlands/declarations.json");
        let document = Document::read(text, "declarations.json").unwrap();
        let Statement::Command(command) = Statement::parse(command).unwrap() else {
            panic!("{command:?} is a query");
        };
        let CommandKind::Change { target: EntityRef::Declared(id), assignments } = command.kind
        else {
            panic!("not a change of a declared entity");
        };
        match Assignment::delta(&assignments, &id, &document) {
            Ok(delta) => Ok(delta.upserts[&id].clone()),
            Err(findings) => Err(findings.to_string()),
        }
    }

    #[test]
    fn one_weight_is_enough() {
        let route = delta("change route assess set weights.goodput = 0.6 if version 12").unwrap();
        assert_eq!(route["completion"]["weights"], json!({"goodput": 0.6}));
        let both = "change route assess set weights.goodput = 1, weights.wasted_prefill = 0";
        let route = delta(both).unwrap();
        assert_eq!(route["completion"]["weights"], json!({"goodput": 1, "wasted_prefill": 0}));
    }

    #[test]
    fn fields_of_all_kinds_are_changed() {
        let route = delta("change route status set limits.duration = 4s, repeat = idempotent");
        let route = route.unwrap();
        assert_eq!(route["limits"]["duration"], "4s");
        assert_eq!(route["service"]["repeat"], "idempotent");
        assert_eq!(delta("change pool grants-app set fencing = true").unwrap()["fencing"], true);
        assert_eq!(delta("change workspace council set share = 5").unwrap()["share"], 5);
        let route = delta("change route assess set adapters = [\"a\", b]").unwrap();
        assert_eq!(route["completion"]["adapters"], json!(["a", "b"]));
    }

    #[test]
    fn a_change_is_checked_against_all_declarations() {
        let findings = delta(
            "change route assess set prefill_pool = grants-app, wiat = x, limits.body_bytes.x = 1",
        );
        let expected = "\
$.routes.assess.limits.body_bytes.x: the value around this field is not an object
$.routes.assess.completion.prefill_pool: the pool \"grants-app\" is of kind service, not prefill
$.routes.assess.completion.wiat: unknown field \"wiat\"
";
        assert_eq!(findings.unwrap_err(), expected);
        let findings = delta("change route none set wait = may_wait").unwrap_err();
        assert_eq!(findings, "$.routes.none: this is not declared\n");
    }
}
