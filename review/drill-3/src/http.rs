//! The little HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a stand-in receives it.
pub struct Request {
    pub method: String,
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// An answer as a caller receives it. Status 0: the channel ended before a whole head.
#[derive(Default)]
pub struct Answer {
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body came to its announced end.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map_or("", |(_, v)| v.as_str())
}

/// Reads up to the blank line; `None` at the end of the channel.
fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buf.split_off(at + 4);
            let head = std::mem::replace(buf, rest);
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if !fill(stream, buf)? {
            return Ok(None);
        }
    }
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 8 << 10];
    let length = stream.read(&mut part)?;
    buf.extend_from_slice(&part[..length]);
    Ok(length > 0)
}

fn headers_of(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1);
    let pairs = lines.filter_map(|l| l.split_once(':'));
    pairs
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect()
}

/// Reads a body; false if the channel ended before.
fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    headers: &[(String, String)],
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = loop {
                if let Some(at) = buf.windows(2).position(|w| w == b"\r\n") {
                    let rest = buf.split_off(at + 2);
                    break std::mem::replace(buf, rest);
                }
                if !fill(stream, buf)? {
                    return Ok(false);
                }
            };
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::other("no chunk"))?;
            while buf.len() < size + 2 {
                if !fill(stream, buf)? {
                    body.append(buf);
                    return Ok(false);
                }
            }
            body.extend_from_slice(&buf[..size]);
            buf.drain(..size + 2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
    let length: usize = find(headers, "content-length").parse().unwrap_or(0);
    while buf.len() < length {
        if !fill(stream, buf)? {
            body.append(buf);
            return Ok(false);
        }
    }
    body.extend(buf.drain(..length));
    Ok(true)
}

/// Reads the next request of a channel; `None` at its end.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buf)? else {
        return Ok(None);
    };
    let headers = headers_of(&head);
    let mut words = head.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if !read_body(stream, buf, &headers, &mut body)? {
        return Ok(None);
    }
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How long a caller waits, and what it does then.
#[derive(Clone, Copy)]
pub struct Patience {
    /// The caller closes its channel after this time.
    pub time: Duration,
}

/// Sends a request on a new channel and reads the answer.
pub fn call(to: SocketAddr, text: &str, body: &[u8], patience: Patience) -> Answer {
    let mut answer = Answer::default();
    let _ = try_call(to, text, body, patience, &mut answer);
    answer
}

fn try_call(
    to: SocketAddr,
    text: &str,
    body: &[u8],
    patience: Patience,
    answer: &mut Answer,
) -> io::Result<()> {
    let until = Instant::now() + patience.time;
    let mut stream = TcpStream::connect_timeout(&to, patience.time)?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut bytes = text.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut buf = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buf)? else {
        return Ok(());
    };
    answer.headers = headers_of(&head);
    answer.status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let headers = answer.headers.clone();
    answer.whole = read_body(&mut stream, &mut buf, &headers, &mut answer.body)?;
    let _ = stream.shutdown(Shutdown::Both);
    Ok(())
}
