//! A small JSON reader for the bodies that the stand-ins receive.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64, String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(_, text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                space(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if !fields.is_empty() {
                    (bytes.get(*at)? == &b',').then_some(())?;
                    *at += 1;
                    space(bytes, at);
                }
                let name = string(bytes, at)?;
                space(bytes, at);
                (bytes.get(*at)? == &b':').then_some(())?;
                *at += 1;
                fields.insert(name, value(bytes, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                if !list.is_empty() {
                    (bytes.get(*at)? == &b',').then_some(())?;
                    *at += 1;
                }
                list.push(value(bytes, at)?);
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b"+-.eE0123456789".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            Some(Json::Number(text.parse().ok()?, text.to_owned()))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then_some(())?;
    *at += word.len();
    Some(value)
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    (bytes.get(*at)? == &b'"').then_some(())?;
    *at += 1;
    let mut text = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                // None of the texts that are read here has another escape.
                text.push(*bytes.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                text.push(*byte);
                *at += 1;
            }
        }
    }
}
