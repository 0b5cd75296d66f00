//! HTTP/1.1 on loopback, as much as the stand-ins need.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub fn read_message(r: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (first, _, body) = read_whole_message(r)?;
    Some((first, body))
}

/// First line, value of `Retry-After`, body.
pub fn read_whole_message(r: &mut BufReader<TcpStream>) -> Option<(String, Option<u64>, Vec<u8>)> {
    let mut first = String::new();
    if r.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    let mut retry_after = None;
    loop {
        let mut line = String::new();
        r.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        let line = line.to_ascii_lowercase();
        if let Some(n) = line.strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
        if let Some(n) = line.strip_prefix("retry-after:") {
            retry_after = Some(n.trim().parse().ok()?);
        }
    }
    let mut body = vec![0; length];
    r.read_exact(&mut body).ok()?;
    Some((first, retry_after, body))
}

/// A stand-in's server: one thread a connection.
pub fn serve(
    handle: impl Fn(&str, &str, Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut out = stream.try_clone().unwrap();
                let mut r = BufReader::new(stream);
                while let Some((first, body)) = read_message(&mut r) {
                    let mut words = first.split(' ');
                    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                    let (status, reply) = handle(
                        method,
                        path,
                        serde_json::from_slice(&body).unwrap_or(Value::Null),
                    );
                    let text = reply.to_string();
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                        text.len()
                    );
                    if out.write_all(format!("{head}{text}").as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    addr
}

pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    let (status, _, body) = call_with_retry_after(to, method, path, body)?;
    Some((status, body))
}

pub fn call_with_retry_after(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, Option<u64>, Value)> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    s.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (first, retry_after, body) = read_whole_message(&mut BufReader::new(s))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((
        status,
        retry_after,
        serde_json::from_slice(&body).unwrap_or(Value::Null),
    ))
}
