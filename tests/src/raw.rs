//! A caller's connection at the level of bytes.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliaspar_standin::{CALLER_KEY, MODEL};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of a read, after which the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A raw HTTP connection of a caller, for tests of slow reads and early closes.
pub struct RawConnection(TcpStream);

impl RawConnection {
    /// Connects and requests a streamed completion.
    pub async fn request_completion(
        entry: SocketAddr,
        id: Option<&str>,
        prompt: &str,
        max_tokens: u32,
    ) -> Self {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        })
        .to_string();
        let id = id.map(|id| format!("x-request-id: {id}\r\n")).unwrap_or_default();
        let mut connection = TcpStream::connect(entry).await.expect("the instance listens");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
             authorization: Bearer {CALLER_KEY}\r\n{id}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write_all(head.as_bytes()).await.expect("the request can be written");
        Self(connection)
    }

    /// Closes the sending direction; the connection can still be read.
    pub async fn shutdown_write(&mut self) {
        self.0.shutdown().await.expect("the connection is open");
    }

    /// Reads the next data, at most `bytes` bytes; empty at the end of the connection.
    pub async fn read_some(&mut self, bytes: usize) -> Box<str> {
        let mut buf = vec![0; bytes];
        let read = actix_rt::time::timeout(READ_TIMEOUT, self.0.read(&mut buf)).await;
        let read = read.expect("data arrives within the timeout").unwrap_or(0);
        String::from_utf8_lossy(&buf[..read]).into()
    }

    /// Reads until the connection ends.
    pub async fn read_all(&mut self) -> Box<str> {
        let mut text = String::new();
        loop {
            let read = self.read_some(64 << 10).await;
            if read.is_empty() {
                return text.into();
            }
            text.push_str(&read);
        }
    }
}
