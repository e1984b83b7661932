//! Orders a change of primary as a confirmed plan does: by the wanted primary in the lead record.

use skylark_core::version::objects::LeadRecord;
use skylark_core::version::objects::ObjectKind;
use skylark_objects::ObjectStore;
use skylark_objects::StoreError;

/// Asks for `target` as primary of `group`. A driver that writes the record meanwhile makes the
/// update meet another version; then it is tried again on the new one.
pub async fn want_primary<S>(store: &S, group: &str, target: &str) -> Result<(), StoreError>
where
    S: ObjectStore,
{
    loop {
        let stored = store.get(ObjectKind::Lead, group).await?;
        let record = serde_json::from_value::<LeadRecord>(stored.body)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let wanted = LeadRecord { wanted: target.to_owned(), ..record };
        let body = serde_json::to_value(wanted).expect("a lead record is plain data");
        match store.put(ObjectKind::Lead, group, stored.version, body).await {
            Err(StoreError::Conflict { .. }) => {}
            result => return result.map(drop),
        }
    }
}
