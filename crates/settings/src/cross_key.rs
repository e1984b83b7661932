//! Collects mistakes in the rules between keys.

use crate::mistake::Mistake;
use crate::schema;

/// The mistakes found so far.
#[derive(Debug, Default)]
pub struct CrossKeyChecker {
    pub(crate) mistakes: Vec<Mistake>,
}

impl CrossKeyChecker {
    /// Notes that the value at `path` does not fit the others.
    pub fn report(&mut self, path: String, problem: String, accepted: String) {
        self.mistakes.push(Mistake { path, position: None, problem, accepted });
    }

    /// Notes every name that stands a second time. `names` holds each name with its path.
    pub fn check_unique<'a, I>(&mut self, names: I)
    where
        I: IntoIterator<Item = (String, &'a str)>,
    {
        let mut seen: Vec<(String, &str)> = Vec::new();
        for (path, name) in names {
            match seen.iter().find(|(_, known)| *known == name) {
                Some((first, _)) => {
                    let problem = format!("`{name}` already stands at {first}");
                    self.report(path, problem, "one that is used once".to_owned());
                }
                None => seen.push((path, name)),
            }
        }
    }

    /// Notes a name that is none of the known ones.
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
