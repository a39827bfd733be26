//! Instances that run as processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

use magnoliaspar_serve::Addresses;
use serde_json::Value;

/// An instance that runs as a separate process and is killed on drop.
pub struct InstanceProcess {
    child: Child,
    /// The addresses on which the instance listens.
    pub addresses: Addresses,
    log: Arc<Mutex<String>>,
}

impl InstanceProcess {
    /// Starts `program` with a settings file and waits until it logs its addresses.
    pub fn start(program: &str, settings: &Path) -> Self {
        let mut child = Command::new(program)
            .arg("serve")
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program can be started");
        let stdout = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(stdout).lines();
        let addresses = loop {
            let line = lines.next().expect("the instance logs its addresses").expect("a log line");
            if let Some(addresses) = parse_announcement(&line) {
                break addresses;
            }
        };
        let log = Arc::new(Mutex::new(String::new()));
        let reader_log = log.clone();
        std::thread::spawn(move || {
            for line in lines {
                let Ok(line) = line else { return };
                let mut log = reader_log.lock().expect("no thread panics while it holds the lock");
                log.push_str(&line);
                log.push('\n');
                drop(log);
                eprintln!("{line}");
            }
        });
        Self { child, addresses, log }
    }

    /// Returns the log of the instance so far.
    pub fn log(&self) -> Box<str> {
        self.log.lock().expect("no thread panics while it holds the lock").as_str().into()
    }

    /// Kills the process with SIGKILL, as in a crash.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Suspends the process with SIGSTOP until it is resumed.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends SIGTERM, on which the instance drains and exits.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits for the process to exit; blocks the thread.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    /// Returns the exit status if the process has exited.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the status of the process can be read")
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("kill can be run").success());
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // Killing fails if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the addresses from the log line that an instance writes at its start.
fn parse_announcement(line: &str) -> Option<Addresses> {
    let entry: Value = serde_json::from_str(line).ok()?;
    let address = |name: &str| -> Option<SocketAddr> {
        let value = entry.get(name).or_else(|| entry.get("kv")?.get(name))?;
        value.as_str()?.parse().ok()
    };
    Some(Addresses {
        callers: address("callers")?,
        peers: address("peers")?,
        operators: address("operators")?,
    })
}
