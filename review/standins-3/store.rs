//! The platform's metadata store, with the limits that the pages set: `RowBytes` for a value, 100
//! entries and 1 MB for a call, `TxMs` for a transaction. What is over a limit gets 400.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::quoted;

const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const TX_TIME: Duration = Duration::from_millis(3);
const MAX_ROWS: usize = 500;
const MAX_PARTS: usize = 1_000;

type Place = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Place, (String, u64)>,
    /// Each change: place, value (none if it was dropped), version.
    changes: Vec<(Place, Option<String>, u64)>,
    version: u64,
    refused: BTreeMap<String, u64>,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Store {
        Store { rows: Arc::default(), started: Instant::now() }
    }

    /// Writes a row for the operator.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let place = (table.to_string(), String::new(), key.to_string());
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = base64(text.as_bytes());
        rows.rows.insert(place.clone(), (value.clone(), version));
        rows.changes.push((place, Some(value), version));
        self.rows.1.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => Some(self.transact(&request.body)),
            ("GET", "/-/rows-get") => Some(self.read(request)),
            ("GET", "/-/rows-parts") => Some(self.parts(request)),
            ("GET", "/-/rows-feed") => Some(self.feed(request)),
            _ => Some((404, "{}".to_string())),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &str) -> (u16, String) {
        std::thread::sleep(TX_TIME);
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_string());
        };
        let [expected, puts, removes] =
            ["Expected", "Put", "Remove"].map(|name| call.get(name).list());
        let mut rows = self.rows.0.lock().unwrap();
        let entries = expected.len() + puts.len() + removes.len();
        if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES {
            *rows.refused.entry("a call over its limits".to_string()).or_default() += 1;
            return (400, "{}".to_string());
        }
        for put in puts {
            let size = decoded_size(put.get("Value").text());
            if size > ROW_BYTES {
                let name = row_name(&place(put));
                let what = format!("a value over RowBytes in {name}");
                *rows.refused.entry(what).or_default() += 1;
                return (400, "{\"Reason\":\"RowBytes\"}".to_string());
            }
        }
        if puts.iter().chain(removes).any(|row| is_operators(row.get("Table").text())) {
            return (403, "{}".to_string());
        }
        let version_of = |rows: &Rows, place: &Place| rows.rows.get(place).map_or(0, |row| row.1);
        let holds = expected
            .iter()
            .all(|row| version_of(&rows, &place(row)) == row.get("Ver").number() as u64);
        if !holds {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let place = place(row);
                    let (value, version) = rows.rows.get(&place)?;
                    Some(row_text(&place, Some(value), *version))
                })
                .collect();
            let now = self.now_ms();
            let rows_text = found.join(",");
            let version = rows.version;
            let text = format!("{{\"rows\":[{rows_text}],\"Ver\":{version},\"NowMs\":{now}}}");
            return (412, text);
        }
        rows.version += 1;
        let version = rows.version;
        for put in puts {
            let place = place(put);
            let value = put.get("Value").text().to_string();
            rows.rows.insert(place.clone(), (value.clone(), version));
            rows.changes.push((place, Some(value), version));
        }
        for remove in removes {
            let place = place(remove);
            if rows.rows.remove(&place).is_some() {
                rows.changes.push((place, None, version));
            }
        }
        self.rows.1.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":{}}}", self.now_ms()))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.parameter("Table"), request.parameter("part"));
        let (from, to) = (request.parameter("From"), request.parameter("To"));
        let limit = request.parameter("Limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = self.rows.0.lock().unwrap();
        let mut found = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (place, (value, version)) in &rows.rows {
            let is_in = place.0 == table && place.1 == part && place.2.as_str() >= from;
            if !is_in || !to.is_empty() && place.2.as_str() >= to {
                continue;
            }
            if found.len() >= limit || bytes + value.len() > MAX_CALL_BYTES && !found.is_empty() {
                has_more = true;
                break;
            }
            bytes += value.len();
            found.push(row_text(place, Some(value), *version));
        }
        let (rows_text, version, now) = (found.join(","), rows.version, self.now_ms());
        let head = format!("{{\"rows\":[{rows_text}],\"HasMore\":{has_more}");
        (200, format!("{head},\"Ver\":{version},\"NowMs\":{now}}}"))
    }

    fn parts(&self, request: &Request) -> (u16, String) {
        let (table, after) = (request.parameter("Table"), request.parameter("After"));
        let rows = self.rows.0.lock().unwrap();
        let places = rows.rows.keys().filter(|place| place.0 == table && place.1.as_str() > after);
        let mut parts: Vec<&str> = places.map(|place| place.1.as_str()).collect();
        parts.dedup();
        let has_more = parts.len() > MAX_PARTS;
        let parts: Vec<String> = parts.into_iter().take(MAX_PARTS).map(quoted).collect();
        let (parts, version, now) = (parts.join(","), rows.version, self.now_ms());
        let head = format!("{{\"parts\":[{parts}],\"HasMore\":{has_more}");
        (200, format!("{head},\"Ver\":{version},\"NowMs\":{now}}}"))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("Table");
        let after: u64 = request.parameter("After").parse().unwrap_or(0);
        let wait: u64 = request.parameter("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let start = rows.changes.partition_point(|change| change.2 <= after);
            let new = rows.changes[start..].iter().filter(|change| change.0.0 == table);
            // Only the last change of a row is of interest.
            let mut last: BTreeMap<&Place, (Option<&String>, u64)> = BTreeMap::new();
            for (place, value, version) in new {
                last.insert(place, (value.as_ref(), *version));
            }
            let left = end.saturating_duration_since(Instant::now());
            if !last.is_empty() || left.is_zero() {
                let mut found: Vec<(u64, String)> = last
                    .iter()
                    .map(|(place, (value, version))| (*version, row_text(place, *value, *version)))
                    .collect();
                found.sort();
                let found: Vec<String> = found.into_iter().map(|row| row.1).collect();
                let (rows_text, version, now) = (found.join(","), rows.version, self.now_ms());
                let text = format!("{{\"rows\":[{rows_text}],\"Ver\":{version},\"NowMs\":{now}}}");
                return (200, text);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn is_operators(table: &str) -> bool {
    table == "op" || table == "servers"
}

fn place(row: &Json) -> Place {
    let text = |name| row.get(name).text().to_string();
    (text("Table"), text("part"), text("Key"))
}

fn row_name(place: &Place) -> String {
    format!("{}/{}/{}", place.0, place.1, place.2)
}

fn row_text(place: &Place, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = (quoted(&place.0), quoted(&place.1), quoted(&place.2));
    let rest = match value {
        Some(value) => format!("\"Value\":{}", quoted(value)),
        None => "\"Deleted\":true".to_string(),
    };
    format!("{{\"Table\":{table},\"part\":{part},\"Key\":{key},{rest},\"Ver\":{version}}}")
}

fn decoded_size(value: &str) -> usize {
    value.trim_end_matches('=').len() * 3 / 4
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    out
}
