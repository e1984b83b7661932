//! Computes the plan for an intent from a snapshot. The computation is a pure function.
//!
//! A plan that drains a primary moves the primary first. If the target were drained immediately, it would
//! refuse writes before another member leads, and the group would have no primary until the move is
//! complete.

use crate::version::objects::ClassSpec;
use crate::version::objects::GroupSpec;
use crate::version::objects::LeadRecord;
use crate::version::objects::ObjectKind;
use crate::version::objects::ReadKindSpec;
use crate::version::objects::ServiceSpec;
use crate::version::objects::Snapshot;
use crate::version::objects::VmRecord;
use crate::version::objects::VmSpec;
use crate::version::objects::VmState;
use crate::version::plan::Plan;
use crate::version::plan::Warning;
use crate::version::plan::error::NameKind;
use crate::version::plan::error::PlanError;
use crate::version::plan::intent::Intent;
use crate::version::plan::new_group;
use crate::version::plan::step::Change;
use crate::version::plan::step::Edit;
use crate::version::plan::step::PlannedBody;
use crate::version::plan::step::Step;

/// Returns the plan that fulfils an intent, or the reason why there is none.
pub fn plan(intent: &Intent, snapshot: &Snapshot) -> Result<Plan, PlanError> {
    let mut builder =
        PlanBuilder { state: SnapshotView { snapshot }, steps: Vec::new(), warnings: Vec::new() };
    match intent {
        Intent::DrainTarget { target } => builder.drain_target(target)?,
        Intent::UndrainTarget { target } => builder.undrain_target(target)?,
        Intent::DrainVm { vm } => builder.drain_vm(vm)?,
        Intent::UndrainVm { vm } => builder.undrain_vm(vm)?,
        Intent::MovePrimary { group, to } => builder.move_primary(group, to.as_deref())?,
        Intent::SetStaleness { service, read_kind, max_age_ms } => {
            builder.set_staleness(service, read_kind, *max_age_ms)?;
        }
        Intent::SetWeight { service, class, weight } => {
            builder.set_weight(service, class, *weight)?;
        }
        Intent::AddGroup { group, spec } => builder.add_group(group, spec)?,
        Intent::RemoveGroup { group } => builder.remove_group(group)?,
    }
    Ok(Plan::new(snapshot.revision, intent.clone(), builder.steps, builder.warnings))
}

/// A stored object with its parsed body.
pub(super) struct ParsedObject<T> {
    pub(super) name: String,
    pub(super) version: u64,
    pub(super) body: T,
}

impl<T> ParsedObject<T>
where
    T: PlannedBody,
{
    /// Creates the change of the object to another body.
    fn edit(self, after: T) -> Edit<T> {
        Edit::new(&self.name, self.version, Some(self.body), Some(after))
    }
}

/// Access to the objects of a snapshot by kind and name.
pub(super) struct SnapshotView<'a> {
    snapshot: &'a Snapshot,
}

impl<'a> SnapshotView<'a> {
    /// Returns the object of the kind of `T` with this name.
    pub(super) fn get<T>(&self, name: &str) -> Result<Option<ParsedObject<T>>, PlanError>
    where
        T: PlannedBody,
    {
        let mut objects = self.snapshot.objects.iter().filter(|object| !object.deleted);
        let found = objects.find(|object| object.kind == T::KIND && object.name == name);
        let Some(object) = found else { return Ok(None) };
        match T::deserialize(&object.body) {
            Ok(body) => {
                Ok(Some(ParsedObject { name: name.to_owned(), version: object.version, body }))
            }
            Err(error) => Err(PlanError::BadObject {
                kind: object.kind,
                name: name.to_owned(),
                reason: error.to_string(),
            }),
        }
    }

    /// Returns the object like [`SnapshotView::get`], or an error if it does not exist.
    pub(super) fn require<T>(
        &self,
        what: NameKind,
        name: &str,
    ) -> Result<ParsedObject<T>, PlanError>
    where
        T: PlannedBody,
    {
        let unknown = || PlanError::unknown(what, name, self.names(T::KIND));
        self.get(name)?.ok_or_else(unknown)
    }

    fn names(&self, kind: ObjectKind) -> impl Iterator<Item = &'a str> {
        let objects = self.snapshot.objects.iter().filter(|object| !object.deleted);
        objects.filter(move |object| object.kind == kind).map(|object| &*object.name)
    }

    /// Iterates over all valid groups. Invalid ones are skipped, so that they don't prevent plans for others.
    pub(super) fn groups(&self) -> impl Iterator<Item = ParsedObject<GroupSpec>> {
        self.names(ObjectKind::Group).filter_map(|name| self.get(name).ok().flatten())
    }

    pub(super) fn vms(&self) -> &'a [VmRecord] {
        &self.snapshot.vms
    }

    /// Returns the group that a target is a member of, and the target's index in it.
    fn member(&self, target: &str) -> Result<(ParsedObject<GroupSpec>, usize), PlanError> {
        let index_in = |group: &ParsedObject<GroupSpec>| {
            group.body.members.iter().position(|member| member.target == target)
        };
        let found = self.groups().find_map(|group| index_in(&group).map(|index| (group, index)));
        found.ok_or_else(|| {
            let groups: Vec<ParsedObject<GroupSpec>> = self.groups().collect();
            let members = groups.iter().flat_map(|group| &group.body.members);
            PlanError::unknown(NameKind::Target, target, members.map(|member| &*member.target))
        })
    }

    /// Returns the lead record of a group, or an error if the group has no primary.
    fn lead(&self, group: &str) -> Result<ParsedObject<LeadRecord>, PlanError> {
        let lead = self.get::<LeadRecord>(group)?.filter(|lead| !lead.body.primary.is_empty());
        lead.ok_or_else(|| PlanError::PrimaryUnknown { group: group.to_owned() })
    }
}

/// The steps and warnings of a plan under construction.
struct PlanBuilder<'a> {
    state: SnapshotView<'a>,
    steps: Vec<Step>,
    warnings: Vec<Warning>,
}

impl PlanBuilder<'_> {
    fn change(&mut self, change: Change) {
        self.steps.push(Step::Change(change));
    }

    fn drain_target(&mut self, target: &str) -> Result<(), PlanError> {
        let (group, index) = self.state.member(target)?;
        if group.body.members[index].drain {
            return Err(PlanError::NoChange { already: format!("target `{target}` is drained") });
        }
        let mut after = group.body.clone();
        after.members[index].drain = true;
        self.check_majority(&group.name, &after)?;
        let lead = self.state.lead(&group.name)?;
        if lead.body.primary == target {
            let to = successor(&group.name, &after, target)?;
            self.request_move(lead, to);
        } else if lead.body.wanted == target {
            let group = group.name;
            return Err(PlanError::MoveUnderway { group, wanted: target.to_owned() });
        }
        self.change(Change::Group(group.edit(after)));
        Ok(())
    }

    /// Rejects a change after which the members in service form no majority.
    fn check_majority(&mut self, group: &str, after: &GroupSpec) -> Result<(), PlanError> {
        let left = after.members.iter().filter(|member| !member.drain).count();
        let needed = after.members.len() / 2 + 1;
        if left < needed {
            return Err(PlanError::WouldLoseMajority { group: group.to_owned(), left, needed });
        }
        if left == needed {
            self.warnings.push(Warning::NoSpareMember { group: group.to_owned() });
        }
        Ok(())
    }

    /// Adds the steps that request the member `to` as the primary and wait until the primary has moved.
    fn request_move(&mut self, lead: ParsedObject<LeadRecord>, to: &str) {
        let (group, from) = (lead.name.clone(), lead.body.primary.clone());
        if !lead.body.wanted.is_empty() {
            let wanted = lead.body.wanted.clone();
            self.warnings.push(Warning::WishReplaced { group: group.clone(), wanted });
        }
        self.warnings.push(Warning::WritesPause { group: group.clone() });
        let after = LeadRecord { wanted: to.to_owned(), ..lead.body.clone() };
        self.change(Change::Lead(lead.edit(after)));
        self.steps.push(Step::AwaitPrimary { group, from, to: to.to_owned() });
    }

    /// Adds the step that cancels a requested move, so that the current primary stays.
    fn cancel_move(&mut self, lead: ParsedObject<LeadRecord>) {
        let (group, wanted) = (lead.name.clone(), lead.body.wanted.clone());
        self.warnings.push(Warning::WishReplaced { group, wanted });
        let after = LeadRecord { wanted: String::new(), ..lead.body.clone() };
        self.change(Change::Lead(lead.edit(after)));
    }

    fn undrain_target(&mut self, target: &str) -> Result<(), PlanError> {
        let (group, index) = self.state.member(target)?;
        if !group.body.members[index].drain {
            let already = format!("target `{target}` is not drained");
            return Err(PlanError::NoChange { already });
        }
        let mut after = group.body.clone();
        after.members[index].drain = false;
        self.change(Change::Group(group.edit(after)));
        Ok(())
    }

    fn drain_vm(&mut self, vm: &str) -> Result<(), PlanError> {
        let record = self.vm(vm)?;
        let spec = self.state.get::<VmSpec>(vm)?;
        if spec.as_ref().is_some_and(|spec| spec.body.drain) {
            return Err(PlanError::NoChange { already: format!("VM `{vm}` is drained") });
        }
        let mut others = Vec::new();
        for other in self.state.vms() {
            let drained = self.state.get::<VmSpec>(&other.vm)?.is_some_and(|spec| spec.body.drain);
            if other.vm != vm && other.state == VmState::Live && !drained {
                others.push(other);
            }
        }
        if others.is_empty() {
            return Err(PlanError::WouldLeaveNoVm);
        }
        if others.iter().all(|other| other.zone != record.zone) {
            self.warnings.push(Warning::ZoneWithoutVm { zone: record.zone });
        }
        self.edit_vm(vm, spec, true);
        Ok(())
    }

    fn vm(&self, name: &str) -> Result<VmRecord, PlanError> {
        let vms = self.state.vms();
        let found = vms.iter().find(|record| record.vm == name);
        let names = vms.iter().map(|record| &*record.vm);
        found.cloned().ok_or_else(|| PlanError::unknown(NameKind::Vm, name, names))
    }

    fn edit_vm(&mut self, vm: &str, spec: Option<ParsedObject<VmSpec>>, drain: bool) {
        let after = VmSpec { drain, plan: String::new() };
        let edit = match spec {
            Some(spec) => spec.edit(after),
            None => Edit::new(vm, 0, None, Some(after)),
        };
        self.change(Change::VmSpec(edit));
    }

    fn undrain_vm(&mut self, vm: &str) -> Result<(), PlanError> {
        let spec = self.state.get::<VmSpec>(vm)?;
        if spec.is_none() {
            self.vm(vm)?;
        }
        if !spec.as_ref().is_some_and(|spec| spec.body.drain) {
            return Err(PlanError::NoChange { already: format!("VM `{vm}` is not drained") });
        }
        self.edit_vm(vm, spec, false);
        Ok(())
    }

    fn move_primary(&mut self, group: &str, to: Option<&str>) -> Result<(), PlanError> {
        let known = self.state.require::<GroupSpec>(NameKind::Group, group)?;
        let lead = self.state.lead(group)?;
        let to = match to {
            Some(to) => to,
            None => successor(group, &known.body, &lead.body.primary)?,
        };
        check_successor(&known.body, to)?;
        if lead.body.primary == to && lead.body.wanted.is_empty() {
            let already = format!("`{to}` leads group `{group}`");
            return Err(PlanError::NoChange { already });
        }
        if lead.body.wanted == to {
            let already = format!("the primary of group `{group}` is being moved to `{to}`");
            return Err(PlanError::NoChange { already });
        }
        if lead.body.primary == to {
            self.cancel_move(lead);
            return Ok(());
        }
        self.request_move(lead, to);
        Ok(())
    }

    fn set_staleness(
        &mut self,
        service: &str,
        read_kind: &str,
        max_age_ms: u64,
    ) -> Result<(), PlanError> {
        let known = self.state.require::<ServiceSpec>(NameKind::Service, service)?;
        let names = known.body.read_kinds.iter().map(|kind| &*kind.name);
        let index = names.clone().position(|name| name == read_kind);
        let index =
            index.ok_or_else(|| PlanError::unknown(NameKind::ReadKind, read_kind, names))?;
        if max_age_ms > ReadKindSpec::HIGHEST_MAX_AGE_MS {
            return Err(PlanError::BadValue {
                what: "the oldest age in ms".to_owned(),
                value: max_age_ms.to_string(),
                accepted: format!("0 to {}", ReadKindSpec::HIGHEST_MAX_AGE_MS),
            });
        }
        let mut after = known.body.clone();
        if after.read_kinds[index].max_age_ms == max_age_ms {
            let already = format!("`{read_kind}` reads may be {max_age_ms} ms old");
            return Err(PlanError::NoChange { already });
        }
        after.read_kinds[index].max_age_ms = max_age_ms;
        self.change(Change::Service(known.edit(after)));
        Ok(())
    }

    fn set_weight(&mut self, service: &str, class: &str, weight: u32) -> Result<(), PlanError> {
        let known = self.state.require::<ServiceSpec>(NameKind::Service, service)?;
        let names = known.body.classes.iter().map(|class| &*class.name);
        let index = names.clone().position(|name| name == class);
        let index = index.ok_or_else(|| PlanError::unknown(NameKind::Class, class, names))?;
        if !(1..=ClassSpec::HIGHEST_WEIGHT).contains(&weight) {
            return Err(PlanError::BadValue {
                what: "the weight".to_owned(),
                value: weight.to_string(),
                accepted: format!("1 to {}", ClassSpec::HIGHEST_WEIGHT),
            });
        }
        let mut after = known.body.clone();
        if after.classes[index].weight == weight {
            let already = format!("class `{class}` has weight {weight}");
            return Err(PlanError::NoChange { already });
        }
        after.classes[index].weight = weight;
        self.change(Change::Service(known.edit(after)));
        Ok(())
    }

    fn add_group(&mut self, group: &str, spec: &GroupSpec) -> Result<(), PlanError> {
        let warnings = new_group::check(&self.state, group, spec)?;
        self.warnings.extend(warnings);
        self.change(Change::Group(Edit::new(group, 0, None, Some(spec.clone()))));
        Ok(())
    }

    fn remove_group(&mut self, group: &str) -> Result<(), PlanError> {
        let known = self.state.require::<GroupSpec>(NameKind::Group, group)?;
        self.warnings.push(Warning::CallersRefused { group: group.to_owned() });
        let edit = Edit::new(group, known.version, Some(known.body), None);
        self.change(Change::Group(edit));
        Ok(())
    }
}

/// Returns the new primary if the operator names none: the first other member in service.
fn successor<'a>(group: &str, spec: &'a GroupSpec, primary: &str) -> Result<&'a str, PlanError> {
    let mut members = spec.members.iter();
    let found = members.find(|member| !member.drain && member.target != primary);
    let none = || PlanError::NoOtherMember { group: group.to_owned() };
    found.map(|member| &*member.target).ok_or_else(none)
}

fn check_successor(spec: &GroupSpec, to: &str) -> Result<(), PlanError> {
    let members = spec.members.iter();
    match members.clone().find(|member| member.target == to) {
        None => Err(PlanError::unknown(NameKind::Member, to, members.map(|it| &*it.target))),
        Some(member) if member.drain => Err(PlanError::BadValue {
            what: "the new primary".to_owned(),
            value: to.to_owned(),
            accepted: "a member that is not drained".to_owned(),
        }),
        Some(_) => Ok(()),
    }
}
