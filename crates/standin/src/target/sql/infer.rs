//! Infers the types of parameters and of expressions from the text.
//!
//! The engine types values and not expressions, while clients of the extended protocol require the
//! types before anything runs. Plain columns have their declared types; the others are inferred from
//! the text. The default is `text`, which accepts any value.

use crate::target::connection::types::Type;

use super::classify;
use super::lexer;
use super::lexer::Token;
use super::lexer::TokenKind;

/// The declared types of columns.
pub trait Catalogue {
    /// Returns the declared type of a table's column.
    fn column(&self, table: &str, column: &str) -> Option<Type>;

    /// Returns the declared type of a table's column by its index, from 0.
    fn column_at(&self, table: &str, place: usize) -> Option<Type>;
}

/// Words between a column and a parameter that is compared with it.
const OPERATOR_WORDS: [&str; 9] =
    ["in", "between", "and", "like", "ilike", "not", "is", "distinct", "any"];

/// The tokens of a statement.
#[derive(Debug)]
pub struct Inference<'a, C> {
    sql: &'a str,
    tokens: Vec<Token>,
    tables: Vec<String>,
    catalogue: &'a C,
}

impl<'a, C> Inference<'a, C>
where
    C: Catalogue,
{
    /// Splits a statement into tokens.
    pub fn new(sql: &'a str, catalogue: &'a C) -> Inference<'a, C> {
        let tokens = lexer::tokens(sql);
        let tables = tables(sql, &tokens);
        Inference { sql, tokens, tables, catalogue }
    }

    /// Returns the types of the parameters, in order.
    pub fn parameters(&self) -> Vec<Type> {
        let mut types = Vec::new();
        for (place, token) in self.tokens.iter().enumerate() {
            let TokenKind::Parameter(number) = token.kind else { continue };
            let index = usize::from(number).saturating_sub(1);
            if types.len() <= index {
                types.resize(index + 1, None);
            }
            if types[index].is_none() {
                types[index] = self.parameter(place);
            }
        }
        types.into_iter().map(|type_| type_.unwrap_or(Type::Text)).collect()
    }

    /// Returns the types of the result's `width` columns; `None` for those that can't be inferred, such as
    /// several columns of a `*`.
    pub fn results(&self, parameters: &[Type], width: usize) -> Vec<Option<Type>> {
        let mut types = vec![None; width];
        let Some(start) = self.list_start() else { return types };
        let rest = &self.tokens[start..];
        let list = &rest[..end_of_list(self.sql, rest)];
        let items = split_at_depth_0(list, |token| token.kind == TokenKind::Symbol(b','));
        let is_star =
            |item: &&[Token]| item.last().is_some_and(|last| last.kind == TokenKind::Symbol(b'*'));
        let before_star = items.iter().position(is_star).unwrap_or(items.len());
        let after_star = items.iter().rev().position(is_star).unwrap_or_default();
        if before_star + after_star > width {
            return types;
        }
        let expression = |item: &&[Token]| self.expression(item, parameters);
        for (type_, item) in types.iter_mut().zip(&items[..before_star]) {
            *type_ = expression(item);
        }
        let last = &items[items.len() - after_star..];
        for (type_, item) in types[width - after_star..].iter_mut().zip(last) {
            *type_ = expression(item);
        }
        types
    }

    fn word(&self, place: usize) -> Option<String> {
        let token = self.tokens.get(place)?;
        matches!(token.kind, TokenKind::Word | TokenKind::QuotedWord)
            .then(|| classify::name(self.sql, *token))
    }

    fn is_symbol(&self, place: usize, symbol: u8) -> bool {
        self.tokens.get(place).is_some_and(|token| token.kind == TokenKind::Symbol(symbol))
    }

    fn parameter(&self, place: usize) -> Option<Type> {
        if self.tokens.get(place + 1).is_some_and(|token| token.kind == TokenKind::Cast) {
            return Type::from_declaration(&self.word(place + 2)?);
        }
        if self.word(place + 1).as_deref() == Some("as") {
            return Type::from_declaration(&self.word(place + 2)?);
        }
        self.inserted(place).or_else(|| self.compared(place)).or_else(|| self.compared_after(place))
    }

    /// Returns the type of the column that a parameter in `VALUES` is assigned to.
    fn inserted(&self, place: usize) -> Option<Type> {
        let values = self.tokens.iter().position(|token| token.is_word(self.sql, "values"))?;
        let into = self.tokens.iter().position(|token| token.is_word(self.sql, "into"))?;
        let mut depth = 0;
        let mut column = 0;
        for at in values + 1..place {
            match self.tokens[at].kind {
                TokenKind::Symbol(b'(') => {
                    depth += 1;
                    column = if depth == 1 { 0 } else { column };
                }
                TokenKind::Symbol(b')') => depth -= 1,
                TokenKind::Symbol(b',') if depth == 1 => column += 1,
                _ => {}
            }
        }
        if depth != 1 {
            return None;
        }
        let table = self.tables.first()?;
        let list_start = (into..values).find(|at| self.is_symbol(*at, b'('));
        match list_start {
            Some(start) => self.catalogue.column(table, &self.word(start + 1 + 2 * column)?),
            None => self.catalogue.column_at(table, column),
        }
    }

    /// Returns the type of the column before the parameter that it is compared with or assigned to.
    fn compared(&self, place: usize) -> Option<Type> {
        for at in (0..place).rev() {
            let Some(word) = self.word(at) else { continue };
            match word.as_str() {
                "limit" | "offset" => return Some(Type::Int8),
                "standin_work_ms" => return Some(Type::Int4),
                "pg_sleep" => return Some(Type::Float8),
                word if OPERATOR_WORDS.contains(&word) => {}
                word => return self.column(word),
            }
        }
        None
    }

    /// Returns the type of the column after the parameter and an operator.
    fn compared_after(&self, place: usize) -> Option<Type> {
        let is_symbol = |at: &usize| {
            matches!(self.tokens.get(*at).map(|it| it.kind), Some(TokenKind::Symbol(_)))
        };
        let after = (place + 1..).find(|at| !is_symbol(at))?;
        if after == place + 1 {
            return None;
        }
        self.column(&self.word(after)?)
    }

    fn column(&self, name: &str) -> Option<Type> {
        self.tables.iter().find_map(|table| self.catalogue.column(table, name))
    }

    /// Returns the index of the first token of the result expressions.
    fn list_start(&self) -> Option<usize> {
        let mut depth = 0;
        for (place, token) in self.tokens.iter().enumerate() {
            match token.kind {
                TokenKind::Symbol(b'(') => depth += 1,
                TokenKind::Symbol(b')') => depth -= 1,
                TokenKind::Word if depth == 0 && token.is_word(self.sql, "returning") => {
                    return Some(place + 1);
                }
                TokenKind::Word if depth == 0 && token.is_word(self.sql, "select") => {
                    let next = self.word(place + 1);
                    let skips = matches!(next.as_deref(), Some("distinct" | "all"));
                    return Some(place + 1 + usize::from(skips));
                }
                _ => {}
            }
        }
        None
    }

    fn expression(&self, item: &[Token], parameters: &[Type]) -> Option<Type> {
        let is_as = |token: &Token| token.is_word(self.sql, "as");
        let item = split_at_depth_0(item, is_as).into_iter().next()?;
        if let Some(type_) = self.cast(item) {
            return Some(type_);
        }
        match item {
            [] => None,
            [single] => self.single(*single, parameters),
            [first, ..] => {
                self.call(item, parameters).or_else(|| self.operation(*first, item, parameters))
            }
        }
    }

    fn cast(&self, item: &[Token]) -> Option<Type> {
        let at = item.iter().rposition(|token| token.kind == TokenKind::Cast)?;
        let type_ = item.get(at + 1)?;
        let rest = &item[at + 1..];
        let outermost = !rest.iter().any(|token| token.kind == TokenKind::Symbol(b')'));
        if outermost { Type::from_declaration(type_.text(self.sql)) } else { None }
    }

    fn single(&self, token: Token, parameters: &[Type]) -> Option<Type> {
        match token.kind {
            TokenKind::Number if token.text(self.sql).contains('.') => Some(Type::Float8),
            TokenKind::Number => Some(Type::Int4),
            TokenKind::Parameter(number) => {
                parameters.get(usize::from(number).checked_sub(1)?).copied()
            }
            TokenKind::Word if token.is_word(self.sql, "true") => Some(Type::Bool),
            TokenKind::Word if token.is_word(self.sql, "false") => Some(Type::Bool),
            TokenKind::Word | TokenKind::QuotedWord => {
                self.column(&classify::name(self.sql, token))
            }
            _ => None,
        }
    }

    /// Returns the type of an expression that is a call of a known function.
    fn call(&self, item: &[Token], parameters: &[Type]) -> Option<Type> {
        let (first, rest) = item.split_first()?;
        let (open, rest) = rest.split_first()?;
        let (close, inner) = rest.split_last()?;
        let spans = open.kind == TokenKind::Symbol(b'(')
            && close.kind == TokenKind::Symbol(b')')
            && closes_at_end(rest);
        if first.kind != TokenKind::Word || !spans {
            return None;
        }
        let argument = || {
            let is_comma = |token: &Token| token.kind == TokenKind::Symbol(b',');
            let first = split_at_depth_0(inner, is_comma).into_iter().next()?;
            self.expression(first, parameters)
        };
        match first.text(self.sql).to_ascii_lowercase().as_str() {
            "cast" => {
                let at = inner.iter().rposition(|token| token.is_word(self.sql, "as"))?;
                Type::from_declaration(inner.get(at + 1)?.text(self.sql))
            }
            "count" => Some(Type::Int8),
            "sum" => match argument() {
                Some(Type::Float4 | Type::Float8) => Some(Type::Float8),
                _ => Some(Type::Int8),
            },
            "min" | "max" | "coalesce" | "ifnull" | "nullif" | "abs" => argument(),
            "avg" | "random" | "round" | "standin_work_ms" | "pg_sleep" => Some(Type::Float8),
            "length" | "instr" => Some(Type::Int4),
            "exists" => Some(Type::Bool),
            _ => None,
        }
    }

    fn operation(&self, first: Token, item: &[Token], parameters: &[Type]) -> Option<Type> {
        let is_truth = |token: &Token| match token.kind {
            TokenKind::Symbol(symbol) => b"=<>".contains(&symbol),
            TokenKind::Word => {
                let words = ["and", "or", "not", "is", "in", "like", "between", "exists"];
                words.iter().any(|word| token.is_word(self.sql, word))
            }
            _ => false,
        };
        if at_depth_0(item, is_truth) {
            return Some(Type::Bool);
        }
        if at_depth_0(item, |token| token.kind == TokenKind::Symbol(b'|')) {
            return Some(Type::Text);
        }
        if first.kind == TokenKind::Symbol(b'(') && closes_at_end(&item[1..]) {
            return self.expression(&item[1..item.len() - 1], parameters);
        }
        let is_arithmetic = |token: &Token| match token.kind {
            TokenKind::Symbol(symbol) => b"+-*/%".contains(&symbol),
            _ => false,
        };
        let operands = split_at_depth_0(item, is_arithmetic);
        if operands.len() < 2 {
            // A column qualified by its table.
            return self.single(*item.last()?, parameters);
        }
        let types = operands.into_iter().filter_map(|operand| self.expression(operand, parameters));
        types.max_by_key(|type_| match type_ {
            Type::Float4 | Type::Float8 => 3,
            Type::Int8 => 2,
            Type::Int4 => 1,
            _ => 0,
        })
    }
}

/// Returns the tables that a statement names.
fn tables(sql: &str, tokens: &[Token]) -> Vec<String> {
    let mut tables = Vec::new();
    for (place, token) in tokens.iter().enumerate() {
        let precedes =
            ["from", "join", "update", "into"].iter().any(|word| token.is_word(sql, word));
        if !precedes {
            continue;
        }
        let qualified = tokens.get(place + 2).is_some_and(|it| it.kind == TokenKind::Symbol(b'.'));
        let name = tokens.get(if qualified { place + 3 } else { place + 1 });
        tables.extend(name.map(|name| classify::name(sql, *name)));
    }
    tables
}

fn end_of_list(sql: &str, tokens: &[Token]) -> usize {
    let mut depth = 0;
    for (place, token) in tokens.iter().enumerate() {
        match token.kind {
            TokenKind::Symbol(b'(') => depth += 1,
            TokenKind::Symbol(b')') => depth -= 1,
            TokenKind::Word if depth == 0 => {
                let ends = ["from", "where", "union", "order", "limit", "group", "for"];
                if ends.iter().any(|word| token.is_word(sql, word)) {
                    return place;
                }
            }
            _ => {}
        }
    }
    tokens.len()
}

fn split_at_depth_0<F>(tokens: &[Token], separates: F) -> Vec<&[Token]>
where
    F: Fn(&Token) -> bool,
{
    let mut parts = Vec::new();
    let mut depth = 0;
    let mut start = 0;
    for (place, token) in tokens.iter().enumerate() {
        match token.kind {
            TokenKind::Symbol(b'(') => depth += 1,
            TokenKind::Symbol(b')') => depth -= 1,
            _ if depth == 0 && separates(token) => {
                parts.push(&tokens[start..place]);
                start = place + 1;
            }
            _ => {}
        }
    }
    parts.push(&tokens[start..]);
    parts
}

fn at_depth_0<F>(tokens: &[Token], wanted: F) -> bool
where
    F: Fn(&Token) -> bool,
{
    split_at_depth_0(tokens, wanted).len() > 1
}

/// Returns whether a parenthesis that was opened before the tokens closes with the last one.
fn closes_at_end(tokens: &[Token]) -> bool {
    let mut depth = 1;
    for (place, token) in tokens.iter().enumerate() {
        match token.kind {
            TokenKind::Symbol(b'(') => depth += 1,
            TokenKind::Symbol(b')') => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return place + 1 == tokens.len();
        }
    }
    false
}
