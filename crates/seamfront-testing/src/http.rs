//! A minimal HTTP/1.1 server and client on loopback, with the features that the stand-ins and their tests need.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Reads a request or a response; returns its first line and its body. `None` at the end of the connection or if it is
/// malformed.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (first, _, body) = read_message_with_retry_after(reader)?;
    Some((first, body))
}

/// Like [`read_message`], with the value of the `Retry-After` header, in seconds, between the first line and the body.
pub fn read_message_with_retry_after(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Option<u64>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    let mut retry_after = None;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if let Some(value) = line.strip_prefix("retry-after:") {
            retry_after = Some(value.trim().parse().ok()?);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, retry_after, body))
}

/// Starts a server on a free port and returns its address. It runs one thread per connection until the process ends.
/// `handle` gets the method, the path with its query, and the JSON body (null if there is none), and returns the status
/// and the JSON body of the response.
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
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((first, body)) = read_message(&mut reader) {
                    let mut words = first.split(' ');
                    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                    let (status, response) = handle(
                        method,
                        path,
                        serde_json::from_slice(&body).unwrap_or(Value::Null),
                    );
                    let text = response.to_string();
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                        text.len()
                    );
                    if writer
                        .write_all(format!("{head}{text}").as_bytes())
                        .is_err()
                    {
                        break;
                    }
                }
            });
        }
    });
    addr
}

/// Sends a request on a new connection; returns the status and the JSON body of the response, which is null if it is not
/// JSON. `None` if there is no valid response in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    let (status, _, body) = call_with_retry_after(to, method, path, body)?;
    Some((status, body))
}

/// Like [`call`], with the value of the `Retry-After` header between status and body.
pub fn call_with_retry_after(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, Option<u64>, Value)> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (first, retry_after, body) = read_message_with_retry_after(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((
        status,
        retry_after,
        serde_json::from_slice(&body).unwrap_or(Value::Null),
    ))
}
