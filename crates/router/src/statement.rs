//! Finds the table group of a statement.

/// Returns the number after the underscore in the name of the schema that the statement reads or writes.
/// Strings, comments and the schema `staging` are ignored, and so are columns qualified by an alias: a table
/// name follows one of the keywords below, or a comma in a list of tables.
pub fn table_group(statement: &str) -> Option<usize> {
    let tokens = Tokens { rest: statement };
    let (mut expects_table, mut first_group, mut previous, mut in_table_list) = (false, None, None, false);
    for token in tokens {
        let Token::Name(name) = token else {
            let dot = token == Token::Punctuation('.');
            // A name followed by a dot is a schema.
            if dot && let Some((schema, is_table)) = previous.take() {
                let group = number_after_underscore(schema);
                if is_table && group.is_some() {
                    return group;
                }
                first_group = first_group.or(group);
            }
            expects_table = token == Token::Punctuation(',') && in_table_list;
            in_table_list &= token != Token::Punctuation('(');
            previous = None;
            continue;
        };
        previous = Some((name, expects_table));
        let tables = ["from", "join", "into", "update", "table", "using", "copy"];
        let starts_tables = tables.iter().any(|known| name.eq_ignore_ascii_case(known));
        let fillers = ["only", "lateral", "if", "exists", "not"];
        expects_table =
            starts_tables || (expects_table && fillers.iter().any(|known| name.eq_ignore_ascii_case(known)));
        let ends_tables =
            ["where", "group", "order", "set", "values", "select", "on", "having", "limit", "union"];
        in_table_list = starts_tables
            || (in_table_list && !ends_tables.iter().any(|known| name.eq_ignore_ascii_case(known)));
    }
    first_group
}

fn number_after_underscore(schema: &str) -> Option<usize> {
    let (_, digits) = schema.rsplit_once('_')?;
    digits.bytes().all(|byte| byte.is_ascii_digit()).then(|| digits.parse().ok()).flatten()
}

/// The names and punctuation marks of a statement, without its strings and comments.
struct Tokens<'a> {
    rest: &'a str,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Token<'a> {
    Name(&'a str),
    Punctuation(char),
}

impl<'a> Tokens<'a> {
    /// Returns the text up to `end`, and removes both from the rest.
    fn take_until(&mut self, end: &str) -> &'a str {
        let (inside, rest) = self.rest.split_once(end).unwrap_or((self.rest, ""));
        self.rest = rest;
        inside
    }

    fn skip_comment(&mut self) {
        let mut depth = 0;
        while !self.rest.is_empty() {
            if let Some(rest) = self.rest.strip_prefix("/*") {
                (depth, self.rest) = (depth + 1, rest);
            } else if let Some(rest) = self.rest.strip_prefix("*/") {
                (depth, self.rest) = (depth - 1, rest);
                if depth == 0 {
                    return;
                }
            } else {
                self.rest = &self.rest[self.rest.chars().next().map_or(0, char::len_utf8)..];
            }
        }
    }

    /// Skips a string in which a backslash escapes the next character.
    fn skip_escaped(&mut self) {
        let mut escaped = false;
        let is_end = |(_, c): &(usize, char)| {
            let end = *c == '\'' && !escaped;
            escaped = *c == '\\' && !escaped;
            end
        };
        let end = self.rest.char_indices().skip(1).find(is_end);
        self.rest = end.map_or("", |(index, _)| &self.rest[index + 1..]);
    }

    /// Skips a dollar-quoted string if one starts here; returns whether one did.
    fn skip_dollars(&mut self) -> bool {
        let Some(end) = self.rest[1..].find('$') else { return false };
        let (tag, body) = self.rest.split_at(end + 2);
        if !tag[1..=end].chars().all(|c| c.is_alphanumeric() || c == '_')
            || tag[1..].starts_with(|c: char| c.is_ascii_digit())
        {
            return false;
        }
        self.rest = body.split_once(tag).map_or("", |(_, rest)| rest);
        true
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            self.rest = self.rest.trim_start();
            let first = self.rest.chars().next()?;
            if self.rest.starts_with("--") {
                self.take_until("\n");
            } else if self.rest.starts_with("/*") {
                self.skip_comment();
            } else if first == '\'' {
                // A doubled quote inside a string is read as two adjacent strings.
                self.rest = &self.rest[1..];
                self.take_until("'");
            } else if first == '"' || first == '`' {
                self.rest = &self.rest[1..];
                return Some(Token::Name(self.take_until(if first == '"' { "\"" } else { "`" })));
            } else if first == '$' && self.skip_dollars() {
            } else if first.is_alphanumeric() || first == '_' {
                let in_name = |c: char| c.is_alphanumeric() || c == '_' || c == '$';
                let end = self.rest.find(|c| !in_name(c)).unwrap_or(self.rest.len());
                let (name, rest) = self.rest.split_at(end);
                self.rest = rest;
                if !(name.eq_ignore_ascii_case("e") && rest.starts_with('\'')) {
                    return Some(Token::Name(name));
                }
                self.skip_escaped();
            } else {
                self.rest = &self.rest[first.len_utf8()..];
                return Some(Token::Punctuation(first));
            }
        }
    }
}
