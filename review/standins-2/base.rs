//! JSON, HTTP and clock for the stand-ins, on the standard library alone.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the start of the program.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// Sleeps for a number of milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`.
    Null,
    /// A truth value.
    Bool(bool),
    /// A number.
    Num(f64),
    /// A text.
    Str(String),
    /// A list.
    List(Vec<Json>),
    /// An object.
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// An object with these fields.
    pub fn map(fields: &[(&str, Json)]) -> Json {
        Json::Map(fields.iter().map(|(name, value)| (name.to_string(), value.clone())).collect())
    }

    /// A text.
    pub fn str(text: &str) -> Json {
        Json::Str(text.to_string())
    }

    /// A whole number.
    pub fn num(number: u64) -> Json {
        Json::Num(number as f64)
    }

    /// The field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.get(name),
            _ => None,
        }
    }

    /// The whole number in a field, or 0.
    pub fn u64(&self, name: &str) -> u64 {
        self.opt_u64(name).unwrap_or(0)
    }

    /// The whole number in a field.
    pub fn opt_u64(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Num(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// The text in a field, or an empty one.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Str(text)) => text,
            _ => "",
        }
    }

    /// The list in a field, or an empty one.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(entries)) => entries,
            _ => &[],
        }
    }

    /// The text of this value as JSON.
    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(number) if number.fract() == 0.0 => {
                out.push_str(&format!("{}", *number as i64))
            }
            Json::Num(number) => out.push_str(&format!("{number}")),
            Json::Str(text) => write_text(text, out),
            Json::List(entries) => {
                out.push('[');
                for (index, entry) in entries.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    entry.write_to(out);
                }
                out.push(']');
            }
            Json::Map(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }

    /// Reads a JSON text.
    pub fn read(text: &str) -> Option<Json> {
        let mut reader = JsonReader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 32 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out.push('"');
}

struct JsonReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonReader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Num)
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(entries));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Map(fields));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            out.extend(letter.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }
}

/// A request of HTTP/1.1, or an answer, where `method` is the status.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method, or status of an answer.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Fields of the query.
    pub query: BTreeMap<String, String>,
    /// Headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: String,
}

impl Message {
    /// The body as JSON.
    pub fn json(&self) -> Json {
        Json::read(&self.body).unwrap_or(Json::Null)
    }
}

/// What a server says to a request.
pub enum Reply {
    /// A status and a body.
    Answer(u16, Json),
    /// Nothing, with the connection closed.
    Close,
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).to_string()
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (first, second) = (words.next()?.to_string(), words.next()?.to_string());
    let mut message = Message::default();
    if first.starts_with("HTTP/") {
        message.method = second;
    } else {
        let (path, query) = second.split_once('?').unwrap_or((&second, ""));
        message.method = first;
        message.path = decode_percent(path);
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            message.query.insert(decode_percent(name), decode_percent(value));
        }
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if message.headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&piece[..size]);
        }
    } else if let Some(size) = message.headers.get("content-length") {
        body = vec![0; size.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    message.body = String::from_utf8_lossy(&body).to_string();
    Some(message)
}

/// A server of HTTP/1.1 on a loopback address, until it is closed.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens at an address; port 0 picks one.
    pub fn open<F>(address: &str, serve: F) -> Option<Server>
    where
        F: Fn(Message) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).ok()?;
        listener.set_nonblocking(true).ok()?;
        let server = Server {
            address: listener.local_addr().ok()?,
            closed: Arc::default(),
            streams: Arc::default(),
        };
        let (opened, serve) = (server.clone(), Arc::new(serve));
        std::thread::spawn(move || {
            while !opened.closed.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => opened.take(stream, serve.clone()),
                    Err(_) => sleep_ms(2),
                }
            }
        });
        Some(server)
    }

    fn take<F>(&self, stream: TcpStream, serve: Arc<F>)
    where
        F: Fn(Message) -> Reply + Send + Sync + 'static,
    {
        // A socket that was accepted inherits nothing that matters but this.
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut streams = self.streams.lock().unwrap();
            streams.retain(|stream| stream.peer_addr().is_ok());
            streams.push(copy);
        }
        let closed = self.closed.clone();
        std::thread::spawn(move || {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                let (status, body) = match serve(message) {
                    Reply::Answer(status, body) => (status, body.write()),
                    Reply::Close => {
                        let _ = writer.shutdown(Shutdown::Both);
                        return;
                    }
                };
                if closed.load(Ordering::Relaxed) {
                    return;
                }
                let text = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            let _ = writer.shutdown(Shutdown::Both);
        });
    }

    /// Resets all connections and stops listening, like a process that is killed.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Calls a server once on a connection of its own. `None` if there is no whole answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Json>,
    limit_ms: u64,
) -> Option<(u16, Json)> {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    let address: SocketAddr = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(limit_ms)).ok()?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = body.map(Json::write).unwrap_or_default();
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if body.is_some() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{text}", text.len()));
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader)?;
    Some((answer.method.parse().ok()?, answer.json()))
}

/// Numbers drawn from a seed.
pub struct Draw(pub u64);

impl Draw {
    /// A number below a bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }
}
