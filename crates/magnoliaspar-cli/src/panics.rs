//! The panic hook, which logs panics like all other events.

use std::panic::PanicHookInfo;
use std::thread;

use crate::line_queue::LOG_THREAD;

/// Messages of panics after which the process aborts, since it cannot unwind.
const ABORTING_MESSAGES: [&str; 2] =
    ["panic in a destructor during cleanup", "panic in a function that cannot unwind"];

/// Installs a panic hook that logs each panic as one line and calls `count`.
///
/// The hook does not block, unless the process is about to abort: then it waits until the line is written.
pub(crate) fn install_hook(count: Box<dyn Fn() + Send + Sync>) {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        count();
        // The thread that has panicked would have written the line.
        if thread::current().name() == Some(LOG_THREAD) {
            previous(info);
            return;
        }
        let message = message_of(info);
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(location, message; "panicked");
        if ABORTING_MESSAGES.contains(&message) {
            log::logger().flush();
        }
    }));
}

fn message_of<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    info.payload_as_str().unwrap_or("a payload that is no text")
}

/// Writes the queued log lines on drop, also while a panic ends the process.
pub(crate) struct FlushOnDrop;

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        log::logger().flush();
    }
}

#[cfg(test)]
mod tests {
    use std::process::{Command, Stdio};
    use std::sync::atomic::{AtomicU64, Ordering};

    use serde_json::Value;

    use super::{FlushOnDrop, install_hook};
    use crate::logs::start_bounded;

    /// Environment variable with the way in which the child process of a test panics.
    const CHILD_ENV_VAR: &str = "MAGNOLIASPAR_TEST_PANIC";

    static COUNT: AtomicU64 = AtomicU64::new(0);

    struct PanicsOnDrop;

    impl Drop for PanicsOnDrop {
        fn drop(&mut self) {
            panic!("second panic");
        }
    }

    fn panic_as_child(way: &str) {
        let (_logs, _) = start_bounded("info", "one").unwrap();
        let _flush = FlushOnDrop;
        install_hook(Box::new(|| {
            COUNT.fetch_add(1, Ordering::Relaxed);
        }));
        let thread = std::thread::spawn(|| panic!("in a thread"));
        assert!(thread.join().is_err());
        assert_eq!(COUNT.load(Ordering::Relaxed), 1);
        let _panics = (way == "abort").then(|| PanicsOnDrop);
        panic!("last {}", "panic");
    }

    /// Runs a test of this binary as a process that panics, and returns the messages of the logged panics.
    fn panics_of_child(test: &str, way: &str) -> Vec<String> {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args([test, "--exact", "--nocapture"]).env(CHILD_ENV_VAR, way);
        let output = command.stderr(Stdio::null()).output().unwrap();
        assert!(!output.status.success());
        let mut messages = Vec::new();
        for line in String::from_utf8(output.stdout).unwrap().lines() {
            let Ok(line) = serde_json::from_str::<Value>(line) else { continue };
            if line["event"] != "panicked" {
                continue;
            }
            assert_eq!((&line["level"], &line["instance"]), (&"error".into(), &"one".into()));
            let location = line["location"].as_str().unwrap();
            let message = line["message"].as_str().unwrap();
            assert!(message.contains("destructor") || location.contains("panics.rs:"), "{line}");
            messages.push(message.into());
        }
        messages
    }

    #[test]
    fn the_line_of_a_panic_that_ends_the_process_is_not_lost() {
        if let Ok(way) = std::env::var(CHILD_ENV_VAR) {
            panic_as_child(&way);
        }
        let test = "panics::tests::the_line_of_a_panic_that_ends_the_process_is_not_lost";
        assert_eq!(panics_of_child(test, "unwind"), ["in a thread", "last panic"]);
        let aborted = panics_of_child(test, "abort");
        assert_eq!(aborted[..3], ["in a thread", "last panic", "second panic"]);
    }
}
