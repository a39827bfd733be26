use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::path::Path;

use futures_util::FutureExt;
use magnoliaspar_bench::KnownRed;

/// The list of tests that are known to fail.
const KNOWN_RED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");

/// Runs a test that may be listed as known to fail; if it is listed, it must fail.
pub async fn run_unless_known_red(name: &str, test: impl Future<Output = ()>) {
    let known_red = KnownRed::read(Path::new(KNOWN_RED)).expect("the list can be read");
    let has_passed = AssertUnwindSafe(test).catch_unwind().await.is_ok();
    let verdict = known_red.judge(name, has_passed);
    println!("{name}: {verdict} {}", known_red.entry(name).unwrap_or_default());
    assert!(verdict.is_accepted(), "{name}: {verdict}");
}
