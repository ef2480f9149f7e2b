//! A small JSON reader and writer: only what the calls of the store need.

use std::collections::BTreeMap;

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

    pub fn int(&self) -> i64 {
        match self {
            Json::Number(number) => *number as i64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    let value = value(&chars, &mut at)?;
    Some(value)
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = string(chars, at)?;
                        skip(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(name, value(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(chars, at)?),
                }
            }
        }
        '"' => Some(Json::Text(string(chars, at)?)),
        't' => word(chars, at, "true", Json::Bool(true)),
        'f' => word(chars, at, "false", Json::Bool(false)),
        'n' => word(chars, at, "null", Json::Null),
        _ => {
            let begin = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
            {
                *at += 1;
            }
            let text: String = chars[begin..*at].iter().collect();
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(chars: &[char], at: &mut usize, text: &str, json: Json) -> Option<Json> {
    for c in text.chars() {
        if *chars.get(*at)? != c {
            return None;
        }
        *at += 1;
    }
    Some(json)
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    if *chars.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let e = *chars.get(*at)?;
                *at += 1;
                match e {
                    'n' => out.push('\n'),
                    'r' => out.push('\r'),
                    't' => out.push('\t'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let mut code = u32::from_str_radix(&hex, 16).ok()?;
                        if (0xd800..0xdc00).contains(&code) && chars.get(*at) == Some(&'\\') {
                            let low: String = chars.get(*at + 2..*at + 6)?.iter().collect();
                            *at += 6;
                            let low = u32::from_str_radix(&low, 16).ok()?;
                            code = 0x10000 + ((code - 0xd800) << 10) + (low.wrapping_sub(0xdc00));
                        }
                        out.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => out.push(other),
                }
            }
            c => out.push(c),
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
