//! Tests of the commands that read local files, and of arguments and help.

use std::process::Command;

use crate::common::{example, run, write_file};

const FIVE_MISTAKES: &str = r#"{
  "pools": {
    "prefill": { "kind": "prefil" },
    "decode": { "kind": "decode" }
  },
  "routes": {
    "assess": {
      "completion": {
        "model": "assessor", "version": "1", "prefill_pool": "prefill", "decode_pool": "decoed",
        "weights": { "wasted_prefill": 0.7, "goodput": 0.7 }
      },
      "limits": { "duration": 30 }
    }
  },
  "workspaces": { "council": { "shares": 3 } }
}
"#;

#[test]
fn check_lists_five_mistakes_with_places_and_hints() {
    let path = write_file("five-mistakes.json", FIVE_MISTAKES);
    let file = path.to_str().unwrap();
    let ran = run(&["check", file]);
    assert_eq!(ran.code, 2);
    let expected = r#"
FILE:3:18: $.pools.prefill.kind: "prefil" is not one of prefill, decode, service (hint: did you mean "prefill"?)
FILE:9:73: $.routes.assess.completion.decode_pool: the pool "decoed" is not declared (hint: did you mean "decode"?)
FILE:10:9: $.routes.assess.completion.weights: the weights add up to 1.4, not to 1 (hint: a missing weight is 1 minus the other)
FILE:12:19: $.routes.assess.limits.duration: expected a string, found a number
FILE:15:32: $.workspaces.council.shares: unknown field "shares" (hint: did you mean "share"?)
5 findings
"#;
    assert_eq!(ran.err, expected.trim_start().replace("FILE", file));
}

#[test]
fn check_prints_findings_for_programs() {
    let path = write_file("unknown.json", "{\"rotes\": {}}");
    let ran = run(&["check", "--json", path.to_str().unwrap()]);
    assert_eq!(ran.code, 2);
    let output: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(output["findings"][0]["place"]["line"], 1);
    assert_eq!(output["findings"][0]["place"]["path"], "$.rotes");
    assert_eq!(output["findings"][0]["hint"], "did you mean \"routes\"?");
}

#[test]
fn the_examples_have_no_findings() {
    for deployment in ["midlands", "java"] {
        let settings = example(&format!("{deployment}/settings.json"));
        let declarations = example(&format!("{deployment}/declarations.json"));
        let ran = run(&["check", "--settings", &settings, &declarations]);
        assert_eq!((ran.code, ran.out.as_str()), (0, "no findings\n"), "{}", ran.err);
    }
}

#[test]
fn a_wrong_log_filter_is_a_finding() {
    let text = std::fs::read_to_string(example("midlands/settings.json")).unwrap();
    let path = write_file("log-filter.json", &text.replace("\"info\"", "\"loud\""));
    for args in [["check", "--settings"], ["serve", "--settings"]] {
        let ran = run(&[&args[..], &[path.to_str().unwrap()]].concat());
        assert_eq!(ran.code, 2);
        assert!(ran.err.contains("log-filter.json:22:12: $.log.filter: "), "{}", ran.err);
    }
}

#[test]
fn diff_shows_what_changes_between_files() {
    let text = std::fs::read_to_string(example("midlands/declarations.json")).unwrap();
    let changed = text
        .replace("\"goodput\": 0.3", "\"goodput\": 0.4")
        .replace("\"wasted_prefill\": 0.7", "\"wasted_prefill\": 0.6")
        .replace("\"vouchers\"", "\"coupons\"");
    let path = write_file("changed.json", &changed);
    let before = example("midlands/declarations.json");
    let ran = run(&["diff", path.to_str().unwrap(), "--against", &before]);
    let expected = "\
- routes/vouchers
~ routes/assess
    $.completion.weights.goodput: 0.3 -> 0.4
    $.completion.weights.wasted_prefill: 0.7 -> 0.6
+ routes/coupons
";
    assert_eq!((ran.code, ran.out.as_str()), (0, expected), "{}", ran.err);
}

#[test]
fn a_typing_mistake_in_a_query_is_marked_with_a_hint() {
    let ran = run(&["query", "servers where sate = live"]);
    assert_eq!(ran.code, 2);
    assert!(
        ran.err.contains("\n  servers where sate = live\n                ^^^^\n"),
        "{}",
        ran.err
    );
    assert!(ran.err.contains("hint: did you mean state?"), "{}", ran.err);
}

#[test]
fn wrong_arguments_are_refused() {
    for args in [&[] as &[&str], &["chek"], &["check"], &["timeline", "--since", "soon"]] {
        assert_eq!(run(args).code, 2, "{args:?}");
    }
    assert_eq!(run(&["check", "/nonexistent.json"]).code, 1);
    let key = write_file("empty-key", "\n");
    let args = ["status", "--operators", "127.0.0.1:1", "--key-file", key.to_str().unwrap()];
    assert_eq!(run(&args).code, 2);
    let ran = run(&["status", "--operators", "nowhere", "--key-file", key.to_str().unwrap()]);
    assert_eq!(ran.code, 2);
}

#[test]
fn the_program_has_help_for_each_command() {
    let program = env!("CARGO_BIN_EXE_magnoliaspar");
    for command in ["serve", "check", "diff", "apply", "query", "timeline", "status"] {
        let output = Command::new(program).args([command, "--help"]).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert_eq!(output.status.code(), Some(0));
        assert!(text.starts_with(&format!("Usage: magnoliaspar {command} ")), "{text}");
        assert!(text.contains("Exit codes:"), "{text}");
    }
    let output = Command::new(program).arg("--help").output().unwrap();
    assert_eq!(output.status.code(), Some(0));
    let output = Command::new(program).args(["query", "running wher"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
