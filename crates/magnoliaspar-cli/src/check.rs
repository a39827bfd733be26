//! The command `check`, and the reading of settings and declaration files.

use std::io::Write;

use magnoliaspar_core::{Finding, Findings};
use magnoliaspar_declaration::{CheckedDeclarations, DeclarationFiles};
use magnoliaspar_json::Source;
use magnoliaspar_settings::Settings;
use serde_json::json;

use crate::args::CheckArgs;
use crate::failure::Failure;
use crate::gateway;
use crate::logs::read_filter;

/// Checks the given files and reports all findings together.
pub(crate) fn check(args: &CheckArgs, out: &mut dyn Write) -> Result<(), Failure> {
    if args.files.is_empty() && args.settings.is_empty() {
        return Err(Failure::Usage("a file to check is missing".into()));
    }
    let findings = collect_findings(args)?;
    if args.json {
        writeln!(out, "{}", json!({ "findings": findings }))?;
    }
    if !findings.is_empty() {
        return Err(findings.into());
    }
    if !args.json {
        writeln!(out, "no findings")?;
    }
    Ok(())
}

/// Reads declaration files and checks them as a whole.
pub(crate) fn read_declarations(files: &[Box<str>]) -> Result<CheckedDeclarations, Failure> {
    if files.is_empty() {
        return Err(Failure::Usage("a declaration file is missing".into()));
    }
    Ok(load_declarations(files)?.check()?)
}

/// Reads and checks the settings of an instance, including the log filter.
pub(crate) fn read_settings(file: &str) -> Result<Settings, Failure> {
    let text = read_file(file)?;
    let settings = Settings::read(&text, file)?;
    if let Err(err) = read_filter(&settings.log.filter) {
        let finding = Finding::at("$.log.filter", err.to_string());
        return Err(Source::parse(&text, file)?.locate(finding.into()).into());
    }
    Ok(settings)
}

fn collect_findings(args: &CheckArgs) -> Result<Findings, Failure> {
    let mut findings = Findings::new();
    for file in &args.settings {
        match read_settings(file) {
            Ok(_) => {}
            Err(Failure::Findings(report)) => findings.append(report.0),
            Err(failure) => return Err(failure),
        }
    }
    for file in &args.gateway_settings {
        match gateway::read_settings(&read_file(file)?, file) {
            Ok(_) => {}
            Err(Failure::Findings(report)) => findings.append(report.0),
            Err(failure) => return Err(failure),
        }
    }
    if let Err(declaration_findings) = load_declarations(&args.files)?.check() {
        findings.append(declaration_findings);
    }
    Ok(findings)
}

fn load_declarations(files: &[Box<str>]) -> Result<DeclarationFiles, Failure> {
    let mut loaded = DeclarationFiles::new();
    for file in files {
        loaded.add(&read_file(file)?, file);
    }
    Ok(loaded)
}

fn read_file(file: &str) -> Result<String, Failure> {
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(text),
        Err(cause) => Err(Failure::File { file: file.into(), cause }),
    }
}
