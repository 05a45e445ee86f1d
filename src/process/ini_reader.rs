//! Reads INI text and collects findings with their line.
//!
//! The syntax is left to the `rust-ini` library, which keeps no line numbers; the reader looks the
//! lines up in the text when a finding needs one.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::findings::ConfigFinding;
use crate::findings::FindingList;

/// Reads typed values out of INI text; mistakes are collected, not returned one by one.
#[derive(Debug)]
pub struct IniReader {
    file: String,
    text: String,
    ini: Ini,
    known: BTreeSet<(String, String)>,
    findings: Vec<ConfigFinding>,
}

impl IniReader {
    /// Parses `text`; a syntax error becomes a finding and the rest reads as empty.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[limits]\nslots = 8\n");
    /// assert_eq!(reader.value("limits", "slots", 1_u32), 8);
    /// assert!(reader.finish().0.is_empty());
    /// ```
    pub fn open(file: &str, text: &str) -> IniReader {
        let mut findings = Vec::new();
        let ini = Ini::load_from_str_noescape(text).unwrap_or_else(|error| {
            findings.push(ConfigFinding {
                file: file.to_string(),
                line: error.line.max(1),
                key: "syntax".to_string(),
                message: error.msg.to_string(),
            });
            Ini::new()
        });
        IniReader {
            file: file.to_string(),
            text: text.to_string(),
            ini,
            known: BTreeSet::new(),
            findings,
        }
    }

    /// The value of a key, or nothing when the key is absent. Marks the key as known.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[a]\nb = c\n");
    /// assert_eq!(reader.text("a", "b").as_deref(), Some("c"));
    /// ```
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert((section.to_string(), key.to_string()));
        self.ini.get_from(Some(section), key).map(|value| value.trim().to_string())
    }

    /// The value of a key that must be there and not be empty.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "");
    /// assert_eq!(reader.required("entry", "id"), "");
    /// assert_eq!(reader.finish().0[0].message, "missing, and has no default");
    /// ```
    pub fn required(&mut self, section: &str, key: &str) -> String {
        match self.text(section, key) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.report(section, key, "missing, and has no default");
                String::new()
            }
        }
    }

    /// A parsed value, or `default` when the key is absent.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[a]\nn = x\n");
    /// assert_eq!(reader.value("a", "n", 3_u32), 3);
    /// assert_eq!(reader.finish().0[0].line, 2);
    /// ```
    pub fn value<T>(&mut self, section: &str, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(value) => value,
            Err(error) => {
                self.report(section, key, &format!("'{text}' cannot be read: {error}"));
                default
            }
        }
    }

    /// A number that must lie in `range`, or `default` when the key is absent.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[a]\nn = 9\n");
    /// assert_eq!(reader.number("a", "n", 2, 1..=4), 2);
    /// ```
    pub fn number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let value = self.value(section, key, default);
        if range.contains(&value) {
            return value;
        }
        let message = format!("{value} is not between {} and {}", range.start(), range.end());
        self.report(section, key, &message);
        default
    }

    /// A time span such as `250ms`, `2s`, `5m` or `1h`, or `default` when the key is absent.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[a]\nwait = 250ms\n");
    /// assert_eq!(reader.span("a", "wait", Duration::ZERO), Duration::from_millis(250));
    /// ```
    pub fn span(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match parse_span(&text) {
            Some(span) => span,
            None => {
                let message = format!("'{text}' is no time span; write 250ms, 2s, 5m or 1h");
                self.report(section, key, &message);
                default
            }
        }
    }

    /// `true` or `false`, or `default` when the key is absent.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[a]\non = true\n");
    /// assert!(reader.flag("a", "on", false));
    /// ```
    pub fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        self.value(section, key, default)
    }

    /// Names of the sections that start with `prefix`, without the prefix.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let reader = IniReader::open("a.ini", "[kind.roster]\ncores = 1\n");
    /// assert_eq!(reader.sections("kind."), ["roster"]);
    /// ```
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        let names = self.ini.sections().flatten();
        names.filter_map(|name| name.strip_prefix(prefix)).map(str::to_string).collect()
    }

    /// Names of the keys of a section.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let reader = IniReader::open("a.ini", "[team-keys]\nsendeplan = 00\n");
    /// assert_eq!(reader.keys("team-keys"), ["sendeplan"]);
    /// ```
    pub fn keys(&self, section: &str) -> Vec<String> {
        let properties = self.ini.section(Some(section));
        let pairs = properties.into_iter().flat_map(|properties| properties.iter());
        pairs.map(|(key, _)| key.to_string()).collect()
    }

    /// Adds a finding about a key, at the key's line.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let mut reader = IniReader::open("a.ini", "[a]\nb = 1\n");
    /// reader.report("a", "b", "too small");
    /// assert_eq!(reader.finish().0[0].to_string(), "a.ini:2: a.b: too small");
    /// ```
    pub fn report(&mut self, section: &str, key: &str, message: &str) {
        let finding = ConfigFinding {
            file: self.file.clone(),
            line: find_line(&self.text, section, key),
            key: format!("{section}.{key}"),
            message: message.to_string(),
        };
        self.findings.push(finding);
    }

    /// Ends the reading: keys that nobody asked for become findings too, in order of their lines.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    ///
    /// let findings = IniReader::open("a.ini", "[a]\ntypo = 1\n").finish();
    /// assert_eq!(findings.0[0].to_string(), "a.ini:2: a.typo: unknown key");
    /// ```
    pub fn finish(mut self) -> FindingList {
        for (section, key) in self.unknown_keys() {
            self.report(&section, &key, "unknown key");
        }
        self.findings.sort_by_key(|finding| finding.line);
        FindingList(self.findings)
    }

    fn unknown_keys(&self) -> Vec<(String, String)> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                let pair = (section.to_string(), key.to_string());
                if !self.known.contains(&pair) {
                    unknown.push(pair);
                }
            }
        }
        unknown
    }
}

/// Reads `250ms`, `2s`, `5m` or `1h`; nothing when the text is none of these.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::ini_reader::parse_span;
///
/// assert_eq!(parse_span("2s"), Some(Duration::from_secs(2)));
/// assert_eq!(parse_span("2 days"), None);
/// ```
pub fn parse_span(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let number: u64 = digits.parse().ok()?;
    let millis = match unit.trim() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(millis).map(Duration::from_millis)
}

/// Line of `key` in `section`, else the section's line, else 1.
fn find_line(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut section_line = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current = name.trim();
            if current == section {
                section_line = index + 1;
            }
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        if current == section && name == key {
            return index + 1;
        }
    }
    section_line
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_findings_come_together_in_line_order() {
        let text = "[a]\nx = 1\nwait = 3 days\n[b]\nn = -1\n";
        let mut reader = IniReader::open("f", text);
        reader.span("a", "wait", Duration::ZERO);
        reader.number("b", "n", 1, 0..=5);
        reader.required("a", "id");
        let lines: Vec<usize> = reader.finish().0.iter().map(|finding| finding.line).collect();
        assert_eq!(lines, [1, 2, 3, 5]);
    }

    #[test]
    fn a_syntax_error_is_a_finding() {
        let findings = IniReader::open("f", "[a\nx = 1\n").finish();
        assert_eq!(findings.0[0].key, "syntax");
    }

    #[test]
    fn a_span_that_overflows_is_refused() {
        assert_eq!(parse_span("99999999999999999999h"), None);
        assert_eq!(parse_span("9999999999999999999h"), None);
    }
}
