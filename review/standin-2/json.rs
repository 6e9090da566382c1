//! A small JSON reader and base64 writer, enough for the bodies that the stand-ins exchange.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

pub fn parse(text: &[u8]) -> Option<Json> {
    let mut reader = Reader { bytes: text, at: 0 };
    let value = reader.value()?;
    reader.skip();
    (reader.at == text.len()).then_some(value)
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip();
        (*self.bytes.get(self.at)? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.numeral(),
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn items(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(list));
            }
            self.take(b',')?;
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut map = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(map));
        }
        loop {
            self.skip();
            let key = self.string()?;
            self.take(b':')?;
            map.insert(key, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Json::Map(map));
            }
            self.take(b',')?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let character = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(character.to_string().as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other if (other as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", other as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
