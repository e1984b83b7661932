//! Collects mistakes in the rules between keys.

use crate::mistake::Mistake;
use crate::shape;

/// The mistakes found so far.
#[derive(Debug, Default)]
pub struct Relations {
    pub(crate) mistakes: Vec<Mistake>,
}

impl Relations {
    /// Notes that the value at `path` does not fit the others.
    pub fn refuse(&mut self, path: String, problem: String, accepted: String) {
        self.mistakes.push(Mistake { path, place: None, problem, accepted });
    }

    /// Notes every name that stands a second time. `names` holds each name with its path.
    pub fn refuse_repeated<'a, I>(&mut self, names: I)
    where
        I: IntoIterator<Item = (String, &'a str)>,
    {
        let mut seen: Vec<(String, &str)> = Vec::new();
        for (path, name) in names {
            match seen.iter().find(|(_, known)| *known == name) {
                Some((first, _)) => {
                    let problem = format!("`{name}` already stands at {first}");
                    self.refuse(path, problem, "one that is used once".to_owned());
                }
                None => seen.push((path, name)),
            }
        }
    }

    /// Notes a name that is none of the known ones.
    pub fn refuse_unknown(&mut self, path: String, name: &str, known: &[&str]) {
        if known.contains(&name) {
            return;
        }
        let mut known = known.to_vec();
        known.sort_unstable();
        known.dedup();
        self.refuse(path, format!("`{name}` is not known"), shape::one_of(&known));
    }
}
