//! Checks that span several entities of a document.

use std::cell::RefCell;
use std::collections::BTreeMap;

use magnoliaspar_core::{Finding, Findings};
use magnoliaspar_json::element_path;

use crate::read::{field_path, read_entities};
use crate::{Declarations, Document, EntityId, EntityKind, RouteTarget};

impl TryFrom<&Document> for Declarations {
    type Error = Findings;

    /// Checks a whole document; findings have paths such as `$.routes.NAME.limits`.
    fn try_from(document: &Document) -> Result<Self, Findings> {
        let findings = RefCell::new(Findings::new());
        let declarations = read_entities(document, &findings);
        let mut findings = findings.into_inner();
        check_prefixes(&declarations, &mut findings);
        check_keys(&declarations, &mut findings);
        findings.into_result(declarations)
    }
}

/// Checks that the path prefixes of services are unique.
fn check_prefixes(declarations: &Declarations, findings: &mut Findings) {
    let mut owners = BTreeMap::new();
    for (name, route) in &declarations.routes {
        let RouteTarget::Service(service) = &route.target else { continue };
        let Some(owner) = owners.insert(&service.prefix, name) else { continue };
        let id = EntityId::new(EntityKind::Route, name.as_str());
        let path = field_path(&id, &["service", "prefix"]);
        let message = format!("the route \"{owner}\" has the prefix {:?} too", service.prefix);
        findings.push(Finding::at(path, message));
    }
}

/// Checks that each key of a caller belongs to a single workspace.
fn check_keys(declarations: &Declarations, findings: &mut Findings) {
    let mut owners = BTreeMap::new();
    for (name, workspace) in &declarations.workspaces {
        for (index, digest) in workspace.keys.iter().enumerate() {
            let Some(owner) = owners.insert(digest, name) else { continue };
            let id = EntityId::new(EntityKind::Workspace, name.as_str());
            let path = element_path(&field_path(&id, &["key_digests"]), index);
            let message = format!("the workspace \"{owner}\" has the key already");
            findings.push(Finding::at(path, message));
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
    use proptest::test_runner::RngSeed;
    use serde_json::{Value, json};

    use crate::{Declarations, Document, EntityId, KeyDigest, PoolKind, RouteTarget};

    fn document(entities: &[(&str, serde_json::Value)]) -> Document {
        let mut document = Document::default();
        for (id, value) in entities {
            document.entities.insert(EntityId((*id).into()), value.clone());
        }
        document
    }

    fn findings(entities: &[(&str, serde_json::Value)]) -> String {
        Declarations::try_from(&document(entities)).unwrap_err().to_string()
    }

    fn completion(prefill: &str, decode: &str) -> serde_json::Value {
        json!({"completion": {
            "model": "m", "version": "1", "prefill_pool": prefill, "decode_pool": decode,
        }})
    }

    #[test]
    fn a_stored_document_is_checked_without_files() {
        let digest = KeyDigest::of("a caller's key");
        let declarations = Declarations::try_from(&document(&[
            ("pools/p", json!({"kind": "prefill", "fencing": true})),
            ("pools/d", json!({"kind": "decode"})),
            ("routes/r", completion("p", "d")),
            ("workspaces/w", json!({"share": 3, "key_digests": [digest.to_string()]})),
        ]))
        .unwrap();
        assert!(declarations.pools.values().any(|pool| pool.is_fencing));
        let (name, workspace) = declarations.workspace_of_key("a caller's key").unwrap();
        assert_eq!((name.as_str(), workspace.share), ("w", 3));
        let route = declarations.routes.values().next().unwrap();
        let RouteTarget::Completion(target) = &route.target else { panic!("no completion") };
        assert_eq!(target.weights.goodput, 0.5);
        assert_eq!(declarations.pools.values().next().unwrap().kind, PoolKind::Decode);
    }

    #[test]
    fn pools_are_checked_across_declarations() {
        let text = findings(&[
            ("pools/writers", json!({"kind": "decode"})),
            ("pools/odd", json!({"kind": "decoder"})),
            ("routes/a", completion("writers", "writer")),
            ("routes/b", json!({"service": {"prefix": "/b", "pool": "odd", "repeat": "lookup"}})),
        ]);
        let expected = "\
$.pools.odd.kind: \"decoder\" is not one of prefill, decode, service (hint: did you mean \"decode\"?)
$.routes.a.completion.prefill_pool: the pool \"writers\" is of kind decode, not prefill
$.routes.a.completion.decode_pool: the pool \"writer\" is not declared (hint: did you mean \"writers\"?)
";
        assert_eq!(text, expected);
    }

    #[test]
    fn prefixes_and_keys_belong_to_one_entity() {
        let service = json!({"service": {"prefix": "/s", "pool": "s", "repeat": "at_most_once"}});
        let digest = KeyDigest::of("key").to_string();
        let text = findings(&[
            ("pools/s", json!({"kind": "service"})),
            ("routes/a", service.clone()),
            ("routes/b", service),
            ("workspaces/a", json!({"key_digests": [digest, "12"]})),
            ("workspaces/b", json!({"share": 0, "key_digests": [digest]})),
            ("workspaces/c", json!({"key_digests": [digest, digest]})),
            ("queues/x", json!({})),
        ]);
        let expected = "\
$: \"queues/x\" is not a pool, route or workspace
$.workspaces.a.key_digests[1]: a key digest has 64 hexadecimal digits (hint: give the SHA-256 digest of the key, not the key)
$.workspaces.b.share: 0 is not a whole number from 1 to 1000000
$.routes.b.service.prefix: the route \"a\" has the prefix \"/s\" too
$.workspaces.c.key_digests[1]: the workspace \"c\" has the key already
";
        assert_eq!(text, expected);
    }

    #[test]
    fn weights_and_limits_are_checked() {
        let mut route = completion("p", "d");
        route["completion"]["weights"] = json!({"goodput": 0.7, "wasted_prefill": 0.4});
        route["limits"] = json!({"duration": "2s", "progress": "3s"});
        let text = findings(&[
            ("pools/p", json!({"kind": "prefill"})),
            ("pools/d", json!({"kind": "decode"})),
            ("routes/r", route),
            ("pools/s", json!({"kind": "service"})),
            ("routes/s", json!({"service": {"prefix": "/v1/x", "pool": "s", "repeat": "lookup"}})),
            ("routes/t", json!({"service": {"prefix": "/x/", "pool": "s", "repeat": "lookup"}})),
        ]);
        let expected = "\
$.routes.r.limits: \"progress\" is longer than \"duration\"
$.routes.r.completion.weights: the weights add up to 1.1, not to 1 (hint: a missing weight is 1 minus the other)
$.routes.s.service.prefix: the path /v1 is kept for completions
$.routes.t.service.prefix: the path prefix has an empty segment (hint: leave out the '/' at the end)
";
        assert_eq!(text, expected);
    }

    /// Collects the JSON pointers of `value` and of all values inside it.
    fn collect_pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
        found.push(pointer.to_owned());
        if let Value::Object(members) = value {
            for (name, member) in members {
                collect_pointers(member, &format!("{pointer}/{name}"), found);
            }
        }
        if let Value::Array(elements) = value {
            for (index, element) in elements.iter().enumerate() {
                collect_pointers(element, &format!("{pointer}/{index}"), found);
            }
        }
    }

    fn any_value() -> impl Strategy<Value = Value> {
        prop_oneof![
            Just(Value::Null),
            any::<bool>().prop_map(Value::from),
            any::<i64>().prop_map(Value::from),
            any::<f64>().prop_map(Value::from),
            "[ -~]{0,9}".prop_map(Value::from),
            "[0-9]{1,25}(ms|s|d)".prop_map(Value::from),
            Just(json!([])),
            Just(json!({})),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 512,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(44),
            ..ProptestConfig::default()
        })]

        #[test]
        fn a_document_with_any_value_is_checked(place in any::<usize>(), value in any_value()) {
            let text = include_str!("../../../examples/midlands/declarations.json");
            let mut document = Document::read(text, "declarations.json").unwrap();
            let mut places = Vec::new();
            for (id, entity) in &document.entities {
                let mut found = Vec::new();
                collect_pointers(entity, "", &mut found);
                places.extend(found.into_iter().map(|pointer| (id.clone(), pointer)));
            }
            let (id, pointer) = &places[place % places.len()];
            let entity = document.entities.get_mut(id).unwrap();
            *entity.pointer_mut(pointer).unwrap() = value;
            match Declarations::try_from(&document) {
                Ok(declarations) => assert_eq!(declarations.routes.len(), 4),
                Err(findings) => {
                    let mut paths = findings.iter().map(|finding| &finding.place.path);
                    assert!(paths.any(|path| path.starts_with(&*id.path())));
                }
            }
        }
    }
}
