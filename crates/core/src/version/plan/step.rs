//! The steps of a plan, and the decision about a step by the current state of its object.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::version::objects;
use crate::version::objects::ObjectKind;
use crate::version::objects::StoredObject;

/// A body that plans can change. It contains the id of the plan that last changed it.
pub trait PlannedBody: Serialize + DeserializeOwned + Clone {
    /// The kind of the objects with this body.
    const KIND: ObjectKind;

    /// Returns the field with the id of the plan that last changed the object.
    fn plan_mut(&mut self) -> &mut String;
}

macro_rules! planned_body {
    ($($body:ident = $kind:ident;)+) => {
        $(impl PlannedBody for objects::$body {
            const KIND: ObjectKind = ObjectKind::$kind;

            fn plan_mut(&mut self) -> &mut String {
                &mut self.plan
            }
        })+
    };
}

planned_body! {
    ServiceSpec = Service;
    GroupSpec = Group;
    LeadRecord = Lead;
    VmSpec = VmSpec;
}

/// The change of one object. Its bodies don't contain plan ids.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Edit<T> {
    /// The object's name.
    pub name: String,
    /// The version that the object must have; zero if it must not exist.
    pub base_version: u64,
    /// The current body; `None` if the object does not exist.
    pub before: Option<T>,
    /// The new body; `None` to remove the object.
    pub after: Option<T>,
}

impl<T> Edit<T>
where
    T: PlannedBody,
{
    /// Creates the change of the object `name`.
    pub fn new(name: &str, base_version: u64, before: Option<T>, after: Option<T>) -> Edit<T> {
        let without_plan = |mut body: T| {
            body.plan_mut().clear();
            body
        };
        Edit {
            name: name.to_owned(),
            base_version,
            before: before.map(without_plan),
            after: after.map(without_plan),
        }
    }

    /// Returns the new body with the plan's id, or `None` for a removal.
    fn body(&self, plan_id: &str) -> Option<Value> {
        let mut body = self.after.clone()?;
        body.plan_mut().push_str(plan_id);
        Some(serde_json::to_value(body).expect("a body is plain data"))
    }
}

/// The change of one object of any kind.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// The change of a service.
    Service(Edit<objects::ServiceSpec>),
    /// The change of a group.
    Group(Edit<objects::GroupSpec>),
    /// The change of a group's lead record.
    Lead(Edit<objects::LeadRecord>),
    /// The change of the requested state of a VM.
    VmSpec(Edit<objects::VmSpec>),
}

macro_rules! with_edit {
    ($change:expr, $edit:ident => $result:expr) => {
        match $change {
            Change::Service($edit) => $result,
            Change::Group($edit) => $result,
            Change::Lead($edit) => $result,
            Change::VmSpec($edit) => $result,
        }
    };
}

impl Change {
    /// Returns the kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Change::Service(_) => ObjectKind::Service,
            Change::Group(_) => ObjectKind::Group,
            Change::Lead(_) => ObjectKind::Lead,
            Change::VmSpec(_) => ObjectKind::VmSpec,
        }
    }

    /// Returns the name of the object.
    pub fn name(&self) -> &str {
        with_edit!(self, edit => &edit.name)
    }

    /// Returns the version that the object must have; zero if it must not exist.
    pub fn base_version(&self) -> u64 {
        with_edit!(self, edit => edit.base_version)
    }

    /// Returns whether the change removes the object.
    pub fn removes(&self) -> bool {
        with_edit!(self, edit => edit.after.is_none())
    }

    /// Returns the fields that the change modifies.
    pub fn differences(&self) -> Vec<Difference> {
        let (before, after) =
            with_edit!(self, edit => (to_json(&edit.before), to_json(&edit.after)));
        let mut differences = Vec::new();
        compare("", &before, &after, &mut differences);
        differences
    }

    fn body(&self, plan_id: &str) -> Option<Value> {
        with_edit!(self, edit => edit.body(plan_id))
    }

    fn judge(&self, plan_id: &str, current: Option<&StoredObject>) -> Verdict {
        let version = current.map_or(0, |object| object.version);
        let by = current.map_or("", last_plan);
        if by == plan_id || (self.removes() && version == 0) {
            return Verdict::Done;
        }
        if version == self.base_version() {
            return Verdict::Write { expected_version: version, body: self.body(plan_id) };
        }
        Verdict::Superseded { version, by: by.to_owned() }
    }
}

/// Returns the id of the plan that last changed an object; empty for none.
pub fn last_plan(object: &StoredObject) -> &str {
    object.body.get("plan").and_then(Value::as_str).unwrap_or("")
}

/// A step of a plan.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// Changes an object.
    Change(Change),
    /// Waits until a member other than `from` is the primary of the group.
    AwaitPrimary {
        /// The group.
        group: String,
        /// The previous primary.
        from: String,
        /// The requested primary.
        to: String,
    },
}

/// The decision about a step by the current state of its object.
#[derive(Clone, PartialEq, Debug)]
pub enum Verdict {
    /// The step is applied.
    Done,
    /// The object has to be changed, or removed if there is no body.
    Write {
        /// The version that the object must have.
        expected_version: u64,
        /// The new body.
        body: Option<Value>,
    },
    /// The step waits for a change by others.
    Wait,
    /// A conflicting change was made.
    Superseded {
        /// The current version of the object; zero if it does not exist.
        version: u64,
        /// The id of the plan that last changed the object; empty for none.
        by: String,
    },
}

impl Step {
    /// Returns the object that the step changes or waits for.
    pub fn object(&self) -> (ObjectKind, &str) {
        match self {
            Step::Change(change) => (change.kind(), change.name()),
            Step::AwaitPrimary { group, .. } => (ObjectKind::Lead, group),
        }
    }

    /// Returns whether the step changes this object.
    pub fn changes(&self, kind: ObjectKind, name: &str) -> bool {
        matches!(self, Step::Change(_)) && self.object() == (kind, name)
    }

    /// Decides about this step of the plan `plan_id` by the current state of the step's object.
    pub fn judge(&self, plan_id: &str, current: Option<&StoredObject>) -> Verdict {
        match self {
            Step::Change(change) => change.judge(plan_id, current),
            Step::AwaitPrimary { from, to, .. } => await_primary(from, to, current),
        }
    }
}

fn await_primary(from: &str, to: &str, current: Option<&StoredObject>) -> Verdict {
    let version = current.map_or(0, |object| object.version);
    let by = current.map_or(String::new(), |object| last_plan(object).to_owned());
    let lead = current.and_then(|object| objects::LeadRecord::deserialize(&object.body).ok());
    match lead {
        Some(lead) if !lead.primary.is_empty() && lead.primary != from => Verdict::Done,
        Some(lead) if lead.wanted == to || lead.primary.is_empty() => Verdict::Wait,
        // The requested move was cancelled, by a driver that gave up or by an operator.
        _ => Verdict::Superseded { version, by },
    }
}

/// A field that a change modifies.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Difference {
    /// The path of the field, such as `members[0].drain`; empty for the whole object.
    pub path: String,
    /// The value before the change; null for none.
    pub before: Value,
    /// The value after the change; null for none.
    pub after: Value,
}

fn to_json<T>(body: &Option<T>) -> Value
where
    T: Serialize,
{
    serde_json::to_value(body).expect("a body is plain data")
}

fn compare(path: &str, before: &Value, after: &Value, differences: &mut Vec<Difference>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(old), Value::Object(new)) => {
            let added = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(added) {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                compare(&path, &before[key], &after[key], differences);
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (index, (old, new)) in old.iter().zip(new).enumerate() {
                compare(&format!("{path}[{index}]"), old, new, differences);
            }
        }
        _ => {
            let (before, after) = (before.clone(), after.clone());
            differences.push(Difference { path: path.to_owned(), before, after });
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Value| match value {
            Value::Null => "nothing".to_owned(),
            value => value.to_string(),
        };
        write!(f, "{} from {} to {}", self.path, shown(&self.before), shown(&self.after))
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name, version) = (self.kind().name(), self.name(), self.base_version());
        if self.removes() {
            return write!(f, "remove {kind} `{name}` of version {version}");
        }
        if version == 0 {
            let body = with_edit!(self, edit => to_json(&edit.after));
            return write!(f, "create {kind} `{name}`: {body}");
        }
        write!(f, "change {kind} `{name}` of version {version}: ")?;
        for (index, difference) in self.differences().iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{difference}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Change(change) => fmt::Display::fmt(change, f),
            Step::AwaitPrimary { group, from, to } => write!(
                f,
                "wait until another member than `{from}` leads group `{group}`; `{to}` is asked"
            ),
        }
    }
}
