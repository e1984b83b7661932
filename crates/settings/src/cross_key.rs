//! Checks of rules that involve several keys of a settings file.

use crate::mistake::Mistake;
use crate::schema;

/// Collects the mistakes that the checks find.
#[derive(Debug, Default)]
pub struct CrossKeyChecker {
    pub(crate) mistakes: Vec<Mistake>,
}

impl CrossKeyChecker {
    /// Reports that the value at `path` is inconsistent with other values. `accepted` describes the values
    /// that would be consistent.
    pub fn report(&mut self, path: String, problem: String, accepted: String) {
        self.mistakes.push(Mistake { path, position: None, problem, accepted });
    }

    /// Reports every repetition of a name or address. `names` yields each one with its path.
    pub fn check_unique<'a, I>(&mut self, names: I)
    where
        I: IntoIterator<Item = (String, &'a str)>,
    {
        let mut seen: Vec<(String, &str)> = Vec::new();
        for (path, name) in names {
            match seen.iter().find(|(_, known)| *known == name) {
                Some((first, _)) => {
                    let problem = format!("`{name}` is already used at {first}");
                    self.report(path, problem, "a unique value".to_owned());
                }
                None => seen.push((path, name)),
            }
        }
    }

    /// Reports a reference to a `name` that is not one of the `known` names.
    pub fn check_known(&mut self, path: String, name: &str, known: &[&str]) {
        if known.contains(&name) {
            return;
        }
        let mut known = known.to_vec();
        known.sort_unstable();
        known.dedup();
        self.report(path, format!("`{name}` is not known"), schema::one_of(&known));
    }
}
