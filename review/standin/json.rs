//! JSON values and base64, as far as the platform's pages need them.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

pub fn table<const N: usize>(entries: [(&str, Json); N]) -> Json {
    Json::Table(entries.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(out, "{}", *value as i64),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(value) => write_text(out, value),
            Json::List(list) => {
                out.write_char('[')?;
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        out.write_char(',')?;
                    }
                    write!(out, "{value}")?;
                }
                out.write_char(']')
            }
            Json::Table(table) => {
                out.write_char('{')?;
                for (index, (name, value)) in table.iter().enumerate() {
                    if index > 0 {
                        out.write_char(',')?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    out.write_char('"')?;
    for character in text.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            character if (character as u32) < 32 => write!(out, "\\u{:04x}", character as u32)?,
            character => out.write_char(character)?,
        }
    }
    out.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.take(b'}') {
                    return Some(Json::Table(table));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    table.insert(name, self.value()?);
                    if self.take(b'}') {
                        return Some(Json::Table(table));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
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
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            out.extend(character.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
