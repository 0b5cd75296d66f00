//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Message {
    pub first: String,
    pub closing: bool,
    pub body: Vec<u8>,
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut closing, mut chunked) = (0usize, false, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        closing |= line == "connection: close";
        chunked |= line == "transfer-encoding: chunked";
    }
    let mut body = vec![0; length];
    if chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend(&chunk[..size]);
        }
    } else {
        reader.read_exact(&mut body).ok()?;
    }
    Some(Message { first: first.trim().to_owned(), closing, body })
}

/// What a handler answers: a response, or none, which closes the connection.
pub type Answer = Option<(u16, String)>;

/// Serves on a free loopback port until the process ends. The handler gets method, path with query, and body.
pub fn serve(handle: impl Fn(&str, &str, &[u8]) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    let mut words = message.first.split(' ');
                    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                    let Some((status, body)) = handle(method, path, &message.body) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all(format!("{head}{body}").as_bytes()).is_err() || message.closing {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends one request on a new connection. None if there is no complete response in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, Vec<u8>)> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_millis(500))).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let message = read_message(&mut BufReader::new(stream))?;
    let status = message.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, message.body))
}
