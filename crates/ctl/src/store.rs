//! Access to the platform's object API.

use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::StoredObject;
use skylark_objects::ObjectStore;
use skylark_objects::StoreError;
use skylark_objects::http::HttpStore;

use crate::arguments::Options;
use crate::failure::Failure;

/// Returns a client of the platform at the address in the options.
pub(crate) fn open(options: &Options) -> Result<HttpStore, Failure> {
    let address = options.platform.ok_or(Failure::MissingOption {
        option: "--platform",
        purpose: "plans are kept in the platform's object API",
    })?;
    Ok(HttpStore::new(&address.to_string(), &options.zone))
}

/// Reads an object. Returns `None` if it does not exist or was deleted.
pub(crate) async fn get<S>(
    store: &S,
    kind: ObjectKind,
    name: &str,
) -> Result<Option<StoredObject>, Failure>
where
    S: ObjectStore,
{
    match store.get(kind, name).await {
        Ok(object) if object.deleted => Ok(None),
        Ok(object) => Ok(Some(object)),
        Err(StoreError::NotFound) => Ok(None),
        Err(error) => Err(Failure::from_store_error(error)),
    }
}
