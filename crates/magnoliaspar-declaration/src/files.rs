//! Reading and checking of declaration files.

use std::cell::RefCell;
use std::collections::BTreeMap;

use magnoliaspar_core::{Finding, Findings, Place};
use magnoliaspar_json::{Cursor, ROOT, Source};

use crate::{Declarations, Document, EntityId, EntityKind};

/// The result of a successful check, in both forms.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedDeclarations {
    /// The declarations as they are stored and sent.
    pub document: Document,
    /// The declarations as routing uses them.
    pub declarations: Declarations,
}

/// Declaration files that form one document; each entity is declared in one file.
#[derive(Debug, Default)]
pub struct DeclarationFiles {
    sources: Vec<Source>,
    document: Document,
    owners: BTreeMap<EntityId, Place>,
    findings: Findings,
}

impl DeclarationFiles {
    /// Creates an empty set of files.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the text of a file; [`check`](Self::check) reports its findings.
    pub fn add(&mut self, text: &str, file: &str) {
        let source = match Source::parse(text, file) {
            Ok(source) => source,
            Err(findings) => return self.findings.append(findings),
        };
        let findings = RefCell::new(Findings::new());
        let entities = split_entities(&Cursor::new(source.value(), ROOT, &findings));
        self.findings.append(source.locate(findings.into_inner()));
        for (id, value) in entities {
            let place = source.place(&id.path()).cloned().unwrap_or_default();
            if let Some(owner) = self.owners.get(&id) {
                let message = format!("{:?} is declared twice", id.0);
                let file = owner.file.as_deref().unwrap_or_default();
                let hint = format!("it is declared in {file} on line {} too", owner.line);
                self.findings
                    .push(Finding { place, message: message.into(), hint: None }.with_hint(hint));
                continue;
            }
            self.owners.insert(id.clone(), place);
            self.document.entities.insert(id, value);
        }
        self.sources.push(source);
    }

    /// Checks all files together; on failure returns all findings with their places.
    pub fn check(mut self) -> Result<CheckedDeclarations, Findings> {
        let declarations = match Declarations::try_from(&self.document) {
            Ok(declarations) => declarations,
            Err(findings) => {
                let located = self.locate(findings);
                self.findings.append(located);
                Declarations::default()
            }
        };
        self.findings.sort_by_place();
        self.findings.into_result(CheckedDeclarations { document: self.document, declarations })
    }

    /// Sets the places of findings to the value, or its nearest enclosing value, in any file.
    fn locate(&self, mut findings: Findings) -> Findings {
        for finding in findings.iter_mut() {
            let path = finding.place.path.clone();
            let mut nearest: Option<&Place> = None;
            for source in &self.sources {
                let Some(place) = source.place(&path) else { continue };
                if nearest.is_none_or(|nearest| nearest.path.len() < place.path.len()) {
                    nearest = Some(place);
                }
            }
            let Some(place) = nearest else { continue };
            finding.place = Place { path, ..place.clone() };
        }
        findings
    }
}

impl Document {
    /// Reads a document from the text of one file; on failure returns all findings with their
    /// places.
    pub fn read(text: &str, file: &str) -> Result<Self, Findings> {
        let mut files = DeclarationFiles::new();
        files.add(text, file);
        Ok(files.check()?.document)
    }
}

/// Returns the entities that a file declares.
fn split_entities(cursor: &Cursor) -> Vec<(EntityId, serde_json::Value)> {
    let mut entities = Vec::new();
    let Some(object) = cursor.object() else { return entities };
    for kind in EntityKind::ALL {
        let Some(group) = object.optional(kind.group()) else { continue };
        let Some(members) = group.object() else { continue };
        for (name, member) in members.entries() {
            entities.push((EntityId::new(kind, name), member.value().clone()));
        }
    }
    object.finish();
    entities
}

#[cfg(test)]
mod tests {
    use super::DeclarationFiles;
    use crate::Document;

    const MIDLANDS: &str = include_str!("../../../examples/midlands/declarations.json");
    const JAVA: &str = include_str!("../../../examples/java/declarations.json");

    #[test]
    fn the_examples_are_valid() {
        for text in [MIDLANDS, JAVA] {
            let document = Document::read(text, "declarations.json").unwrap();
            assert!(document.entities.len() > 6);
            let stored = serde_json::to_string(&document).unwrap();
            assert_eq!(serde_json::from_str::<Document>(&stored).unwrap(), document);
        }
    }

    /// Guards against names of workspaces that commands and keys of rows cannot hold as they are.
    #[test]
    fn the_name_of_a_declared_workspace_is_a_plain_one() {
        let findings = Document::read("{\"workspaces\": {\"a b\": {}}}", "w.json").unwrap_err();
        assert!(findings.to_string().contains("the name contains ' '"), "{findings}");
    }

    #[test]
    fn several_files_make_one_document() {
        let mut files = DeclarationFiles::new();
        files.add("{\"pools\": {\"s\": {\"kind\": \"service\"}}}", "pools.json");
        let route = "{\"service\": {\"prefix\": \"/s\", \"pool\": \"s\", \"repeat\": \"lookup\"}}";
        files.add(&format!("{{\"routes\": {{\"s\": {route}}}}}"), "routes.json");
        let checked = files.check().unwrap();
        assert_eq!(checked.document.entities.len(), 2);
        assert_eq!(checked.declarations.routes.len(), 1);
    }

    #[test]
    fn findings_point_into_their_files() {
        let mut files = DeclarationFiles::new();
        files.add("{\"pools\": {\n  \"s\": {\"kind\": \"servce\"}}}", "a.json");
        files.add("{\"pools\": {\n\n  \"s\": {\"kind\": \"service\"}}, \"rules\": 1}", "b.json");
        files.add("{\"routes\": {\n  \"r\": {\"service\": {\"prefix\": \"/r\", \"pool\": \"t\", \"repeat\": \"lookup\"}}}}", "c.json");
        files.add("{", "d.json");
        let expected = "\
a.json:2:9: $.pools.s.kind: \"servce\" is not one of prefill, decode, service (hint: did you mean \"service\"?)
b.json:3:3: $.pools.s: \"pools/s\" is declared twice (hint: it is declared in a.json on line 2 too)
b.json:3:30: $.rules: unknown field \"rules\" (hint: did you mean \"routes\"?)
c.json:2:37: $.routes.r.service.pool: the pool \"t\" is not declared
d.json:1:1: $: not JSON: unterminated object
";
        assert_eq!(files.check().unwrap_err().to_string(), expected);
    }
}
