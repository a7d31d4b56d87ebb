//! The little JSON that the store needs: the raw text of a member of an object.

/// Returns the raw value of a member of the object that `text` begins with.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at += bytes[at..].iter().position(|b| *b == b'"' || *b == b'}')?;
        if bytes[at] == b'}' {
            return None;
        }
        let key_end = end_of_value(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        let colon = key_end + bytes[key_end..].iter().position(|b| *b == b':')?;
        let start = colon + 1 + bytes[colon + 1..].iter().position(|b| !b.is_ascii_whitespace())?;
        let end = end_of_value(bytes, start)?;
        if key == name {
            return Some(&text[start..end]);
        }
        at = end;
    }
}

/// Returns the text of a JSON string without its quotes.
pub fn text(raw: &str) -> &str {
    raw.trim_matches('"')
}

fn end_of_value(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut at = start;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ => (),
        }
        at += 1;
    }
    Some(bytes.len())
}
