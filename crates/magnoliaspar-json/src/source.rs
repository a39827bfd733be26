//! JSON documents with the line and column of each value.

use std::collections::BTreeMap;

use jsonc_parser::ast::{ObjectProp, Value as Ast};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use magnoliaspar_core::{Finding, Findings, Place};
use serde_json::Value;

use crate::path::{ROOT, child_path, element_path, shorten};

/// A JSON document together with the place of each of its values.
#[derive(Debug, Clone)]
pub struct Source {
    /// The value of the document.
    value: Value,
    /// The places of values by JSON path; the place of an object member is that of its name.
    places: BTreeMap<Box<str>, Place>,
}

impl Source {
    /// Parses strict JSON; comments, trailing commas and duplicate names are findings.
    pub fn parse(text: &str, file: &str) -> Result<Self, Findings> {
        // The strict parser runs first, because the other one accepts more than JSON and has no
        // limit on nesting.
        let value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(err) => return Err(syntax_finding(text, file, &err).into()),
        };
        let ast = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
            Ok(result) => result.value,
            Err(err) => return Err(range_finding(text, file, &err).into()),
        };
        let mut index = Index::new(text, file);
        if let Some(ast) = ast {
            index.add(ROOT, 0, &ast);
        }
        index.findings.into_result(Self { value, places: index.places })
    }

    /// Returns the value of the document.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Returns the place of the value at `path`, or of the nearest enclosing value.
    pub fn place(&self, path: &str) -> Option<&Place> {
        let mut known = path;
        loop {
            if let Some(place) = self.places.get(known) {
                return Some(place);
            }
            known = shorten(known)?;
        }
    }

    /// Adds file, line and column to findings that have only a path, and sorts all by place.
    pub fn locate(&self, mut findings: Findings) -> Findings {
        for finding in findings.iter_mut() {
            if finding.place.line > 0 {
                continue;
            }
            let Some(place) = self.place(&finding.place.path) else { continue };
            let path = finding.place.path.clone();
            finding.place = Place { path, ..place.clone() };
        }
        findings.sort_by_place();
        findings
    }
}

/// Collects the places of values during a walk of the syntax tree.
struct Index<'a> {
    text: &'a str,
    file: &'a str,
    line_starts: Vec<usize>,
    places: BTreeMap<Box<str>, Place>,
    findings: Findings,
}

impl<'a> Index<'a> {
    fn new(text: &'a str, file: &'a str) -> Self {
        let mut line_starts = vec![0];
        for (offset, _) in text.match_indices('\n') {
            line_starts.push(offset + 1);
        }
        Self { text, file, line_starts, places: BTreeMap::new(), findings: Findings::new() }
    }

    fn add(&mut self, path: &str, offset: usize, ast: &Ast) {
        self.places.insert(path.into(), self.place(path, offset));
        match ast {
            Ast::Object(object) => {
                for member in &object.properties {
                    self.add_member(path, member);
                }
            }
            Ast::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.add(&element_path(path, index), element.range().start, element);
                }
            }
            _ => {}
        }
    }

    fn add_member(&mut self, parent: &str, member: &ObjectProp) {
        let name = member.name.as_str();
        let path = child_path(parent, name);
        let offset = member.range.start;
        let Some(first) = self.places.get(&path) else {
            self.add(&path, offset, &member.value);
            return;
        };
        let hint = format!("it was first given on line {}", first.line);
        let place = self.place(&path, offset);
        let message = format!("the name {name:?} is given twice").into();
        self.findings.push(Finding { place, message, hint: Some(hint.into()) });
    }

    fn place(&self, path: &str, offset: usize) -> Place {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        Place { file: Some(self.file.into()), line, column, path: path.into() }
    }
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
    }
}

/// Returns the finding for a syntax error.
///
/// The message comes from the second parser if it reports an error too, since it is clearer.
fn syntax_finding(text: &str, file: &str, err: &serde_json::Error) -> Finding {
    if !err.to_string().starts_with("recursion limit")
        && let Err(err) = parse_to_ast(text, &CollectOptions::default(), &strict_options())
    {
        return range_finding(text, file, &err);
    }
    let line = err.line();
    let bytes = text.lines().nth(line.saturating_sub(1)).unwrap_or_default().as_bytes();
    let before = &bytes[..err.column().saturating_sub(1).min(bytes.len())];
    let column = String::from_utf8_lossy(before).chars().count() + 1;
    let place = Place { file: Some(file.into()), line, column, path: ROOT.into() };
    let whole = err.to_string();
    let message = whole.split(" at line ").next().unwrap_or_default();
    Finding { place, message: format!("not JSON: {message}").into(), hint: None }
}

fn range_finding(text: &str, file: &str, err: &jsonc_parser::errors::ParseError) -> Finding {
    let place = Index::new(text, file).place(ROOT, err.range().start);
    let message = err.kind().to_string().to_lowercase();
    Finding { place, message: format!("not JSON: {message}").into(), hint: None }
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::{Finding, Findings};
    use proptest::prelude::{ProptestConfig, any, proptest};
    use proptest::test_runner::RngSeed;

    use super::Source;

    fn only_finding(text: &str) -> String {
        let findings = Source::parse(text, "f.json").unwrap_err();
        assert_eq!(findings.len(), 1, "{findings}");
        findings.to_string()
    }

    #[test]
    fn a_syntax_error_is_one_finding_with_its_place() {
        let finding = only_finding("{\n  \"a\": 1,\n  \"b\": 2,\n}");
        assert_eq!(finding, "f.json:3:9: $: not JSON: trailing commas are not allowed\n");
        let finding = only_finding("{ // no\n}");
        assert_eq!(finding, "f.json:1:3: $: not JSON: comments are not allowed\n");
        let finding = only_finding("{\"ä\": 1 \"b\": 2}");
        assert_eq!(finding, "f.json:1:9: $: not JSON: expected `,` or `}`\n");
        assert!(
            only_finding("{'a': 1}").starts_with("f.json:1:2: $: not JSON: key must be a string")
        );
        assert!(only_finding("").starts_with("f.json:1:1: $: not JSON: EOF"));
        assert!(only_finding(&"[".repeat(100_000)).contains("recursion limit"));
    }

    #[test]
    fn a_duplicate_name_is_a_finding() {
        let finding = only_finding("{\"a\": {\"b\": 1,\n\"b\": 2}}");
        let expected = "f.json:2:1: $.a.b: the name \"b\" is given twice \
                        (hint: it was first given on line 1)\n";
        assert_eq!(finding, expected);
    }

    #[test]
    fn findings_are_located_by_their_path() {
        let source = Source::parse("{\n \"a\": [1,\n  {\"b.c\": 2}]\n}", "f.json").unwrap();
        let mut findings = Findings::new();
        findings.push(Finding::at("$.a[1][\"b.c\"].d.e", "missing"));
        findings.push(Finding::at("$.a[0]", "small"));
        let text = source.locate(findings).to_string();
        assert_eq!(text, "f.json:2:8: $.a[0]: small\nf.json:3:4: $.a[1][\"b.c\"].d.e: missing\n");
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 256,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(41),
            ..ProptestConfig::default()
        })]

        #[test]
        fn any_text_is_parsed_or_has_located_findings(text in "[\\[\\]{}:,\"'a1é\\\\u/* \n]{0,24}", line in any::<u8>()) {
            let text = format!("{}{text}", "\n".repeat(usize::from(line % 3)));
            if let Err(findings) = Source::parse(&text, "f.json") {
                assert!(findings.iter().all(|finding| finding.place.line > 0));
            }
        }
    }
}
