//! Tests of the command `serve` with a real process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use crate::common::{example, run, write_file};

const PROGRAM: &str = env!("CARGO_BIN_EXE_magnoliaspar");

/// Writes settings with listeners on free ports, after `change`, and returns their path.
fn settings(name: &str, change: impl Fn(&str) -> String) -> String {
    let mut text = std::fs::read_to_string(example("midlands/settings.json")).unwrap();
    for port in ["8080", "8081", "8082"] {
        text = text.replace(&format!("127.0.0.1:{port}\""), "127.0.0.1:0\"");
    }
    write_file(name, &change(&text)).to_str().unwrap().to_owned()
}

fn start(file: &str) -> Child {
    let mut command = Command::new(PROGRAM);
    let command = command.args(["serve", "--settings", file]);
    command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap()
}

#[test]
fn an_instance_logs_json_lines_without_keys_and_drains_on_sigterm() {
    let file = settings("serve.json", |text| text.replace("\"info\"", "\"trace\""));
    let mut child = start(&file);
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let mut log = String::new();
    while !log.contains("listens on") {
        assert_ne!(output.read_line(&mut log).unwrap(), 0, "{log}");
    }
    let address = log.trim_end().rsplit("listens on ").next().unwrap().split('"').next().unwrap();
    let mut caller = TcpStream::connect(address).unwrap();
    let header = "Authorization: Bearer example-caller-key\r\nConnection: close\r\n\r\n";
    write!(caller, "GET /grants/status HTTP/1.1\r\nHost: x\r\n{header}").unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    while output.read_line(&mut log).unwrap() > 0 {}
    assert_eq!(child.wait().unwrap().code(), Some(0), "{log}");
    for line in log.lines() {
        let entry: Value = serde_json::from_str(line).unwrap();
        assert!(entry["level"].is_string() && entry["text"].is_string(), "{line}");
    }
    assert!(log.contains("the instance has drained"), "{log}");
    assert!(!log.contains("example-"), "{log}");
}

#[test]
fn all_findings_in_wrong_settings_are_reported_together() {
    let file = settings("wrong.json", |text| {
        text.replace("\"mid-a\"", "\"mid a\"").replace("drain_limit", "drain_limits")
    });
    let ran = run(&["serve", "--settings", &file]);
    assert_eq!(ran.code, 2);
    assert!(ran.err.contains(":3:3: $.zone: "), "{}", ran.err);
    assert!(ran.err.contains("did you mean \"drain_limit\"?"), "{}", ran.err);
    assert!(ran.err.ends_with("2 findings\n"), "{}", ran.err);
    assert_eq!(run(&["serve"]).code, 2);
}

#[test]
fn an_instance_whose_address_is_in_use_exits_with_an_error() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let file = settings("in-use.json", |text| {
        text.replacen("127.0.0.1:0", &address, 1).replace("\"info\"", "\"off\"")
    });
    let output = start(&file).wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let err = String::from_utf8(output.stderr).unwrap();
    assert!(err.starts_with("error: "), "{err}");
}
