//! A JSON reader that is just large enough for the calls that the system makes to the store.

#[derive(Debug, Clone)]
pub enum Json {
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn field(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match bytes.get(*at)? {
        b'"' => Some(Json::Text(string(bytes, at)?)),
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip_blanks(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        b'{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                skip_blanks(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let key = string(bytes, at)?;
                        skip_blanks(bytes, at);
                        (*bytes.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.push((key, value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Object(fields))
        }
        _ => {
            while bytes.get(*at).is_some_and(|b| !b",]}".contains(b)) {
                *at += 1;
            }
            Some(Json::Other)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    (*bytes.get(*at)? == b'"').then_some(())?;
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                text.push(*bytes.get(*at)?);
            }
            byte => text.push(byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(text).ok()
}
