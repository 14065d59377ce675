//! A signed bundle as a file: the manifest, its signatures and the sections.

use bundle::{Bundle, Error, Manifest, Signed};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A bundle on its way from its author over its reviewers to the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Package {
    /// The manifest and its signatures.
    pub signed: Signed,
    /// The sections by digest.
    pub sections: BTreeMap<String, String>,
}

impl Package {
    /// Packs a bundle that follows sequence `parent`; nobody has signed it yet.
    pub fn new(bundle: &Bundle, parent: u64, rollback_to: Option<u64>, note: &str) -> Package {
        let parts = bundle::split(bundle);
        let top = parts.iter().filter(|part| bundle::is_named_by_manifest(&part.name));
        let names = top.map(|part| (part.name.clone(), bundle::digest(&part.json))).collect();
        let manifest = Manifest { parent, rollback_to, sections: names, note: note.to_owned() };
        let sections = parts.into_iter().map(|part| (bundle::digest(&part.json), part.json)).collect();
        Package { signed: Signed::new(&manifest), sections }
    }

    /// Checks the signatures and the sections.
    ///
    /// # Errors
    /// Fails if it is under-signed, tampered with or incomplete.
    pub fn verify(&self, trusted: &[String], needed: usize) -> Result<(Manifest, Bundle), Error> {
        let manifest = bundle::verify(&self.signed, trusted, needed)?;
        let content =
            bundle::join(&manifest, |digest| self.sections.get(digest).map(String::as_str), |_| None)?;
        Ok((manifest, content))
    }
}
