//! Readings of processor time and memory of this process from Linux procfs.

use std::fs;
use std::io;
use std::time::Duration;

/// Bytes per kibibyte. The kernel reports memory in kibibytes.
const KIB: u64 = 1024;

/// Returns the kernel thread id of the current thread.
pub fn thread_id() -> io::Result<u32> {
    let target = fs::read_link("/proc/thread-self")?;
    let name = target.file_name().and_then(|name| name.to_str());
    name.and_then(|name| name.parse().ok())
        .ok_or_else(|| invalid("/proc/thread-self names no thread id"))
}

/// Returns the processor time used by a thread of this process.
pub fn thread_time(thread: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/self/task/{thread}/schedstat"))?;
    let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
    nanos
        .map(Duration::from_nanos)
        .ok_or_else(|| invalid("the schedstat file of the thread has no processor time"))
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("VmRSS:") else { continue };
        let kib: Option<u64> = rest.split_whitespace().next().and_then(|word| word.parse().ok());
        return kib
            .map(|kib| kib * KIB)
            .ok_or_else(|| invalid("VmRSS in /proc/self/status is not a number"));
    }
    Err(invalid("/proc/self/status has no VmRSS"))
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
