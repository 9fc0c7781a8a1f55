//! A document together with the files that it names, so that what was checked is what is applied, whatever
//! happens to the files meanwhile. Its digest and its signature are BLAKE3 over all of it.

use crate::check::{check, Checked};
use crate::problem::Problem;
use crate::tree::MOST_BYTES;
use nickeljunction_core::facade::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What keeps these hashes apart from any other use of the same key.
const DIGEST_CONTEXT: &str = "nickeljunction 2026-12 operators' document digest";
const KEY_ID_CONTEXT: &str = "nickeljunction 2026-12 key id";
/// Most accepted keys: the present one and the former, while they are exchanged.
const MOST_KEYS: usize = 2;

/// A document with its files.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The document's file, as problems name it.
    pub name: String,
    /// Its text.
    pub text: String,
    /// Files that it names, by the names it gives them.
    pub files: BTreeMap<String, String>,
}

/// A signature: which key, and the keyed BLAKE3 of the digest, both hexadecimal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tag {
    /// Id of the key, 16 digits.
    pub key: String,
    /// The keyed hash, 64 digits.
    pub tag: String,
}

impl Bundle {
    /// Gathers a document and its files; `read` gives the text of a file that the document names.
    ///
    /// # Errors
    /// All problems of the document, and each file that can't be read, at the key that names it.
    pub fn gather(
        name: &str,
        text: &str,
        base: Option<&Settings>,
        read: impl Fn(&str) -> Result<String, String>,
    ) -> Result<(Bundle, Checked), Vec<Problem>> {
        let checked = check(name, text, base)?;
        let (mut files, mut problems) = (BTreeMap::new(), Vec::new());
        for (path, file) in named(&checked) {
            match read(&file) {
                Ok(content) if content.len() > MOST_BYTES => {
                    let found = format!("'{file}' with {} bytes", content.len());
                    problems.push(checked.problem(path, found, format!("at most {MOST_BYTES} bytes")));
                }
                Ok(content) => drop(files.insert(file, content)),
                Err(why) => {
                    problems.push(checked.problem(
                        path,
                        format!("'{file}': {why}"),
                        "a file that can be read",
                    ));
                }
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        Ok((Bundle { name: name.to_string(), text: text.to_string(), files }, checked))
    }

    /// Checks a bundle that came over the socket or out of the history: its files must be those it names.
    ///
    /// # Errors
    /// As [`Bundle::gather`].
    pub fn check(&self, base: Option<&Settings>) -> Result<Checked, Vec<Problem>> {
        let read = |name: &str| self.files.get(name).cloned().ok_or_else(|| "not in the bundle".to_string());
        Bundle::gather(&self.name, &self.text, base, read).map(|(_, checked)| checked)
    }

    fn hasher(&self) -> blake3::Hasher {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        // Lengths go before contents: no text can be moved from one part into the next unseen.
        let mut part = |text: &str| {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        };
        part(&self.text);
        self.files.iter().for_each(|(name, content)| {
            part(name);
            part(content);
        });
        hasher
    }

    /// Digest of document and files, 64 hexadecimal digits. The file's own name is not part of it.
    pub fn digest(&self) -> String {
        self.hasher().finalize().to_hex().to_string()
    }

    /// Signs with a key.
    pub fn sign(&self, key: &Key) -> Tag {
        let tag = blake3::keyed_hash(&key.bytes, self.hasher().finalize().as_bytes());
        Tag { key: key.id(), tag: tag.to_hex().to_string() }
    }

    /// True if one of the keys made this tag. The comparison is the library's, in constant time.
    pub fn signed_by(&self, tag: &Tag, keys: &[Key]) -> bool {
        let Ok(given) = blake3::Hash::from_hex(&tag.tag) else { return false };
        keys.iter()
            .filter(|key| key.id() == tag.key)
            .any(|key| blake3::keyed_hash(&key.bytes, self.hasher().finalize().as_bytes()) == given)
    }
}

/// Files that a document names: the key and the name.
fn named(checked: &Checked) -> Vec<(&'static str, String)> {
    let document = &checked.document;
    let description = document.routes.as_ref().and_then(|routes| routes.description.clone());
    let script = document.plugin.as_ref().map(|plugin| plugin.script.clone());
    let named = [("routes.description", description), ("plugin.script", script)];
    named.into_iter().filter_map(|(path, file)| Some((path, file?))).collect()
}

/// Fingerprint of the figures that must agree over all gateways, 16 hexadecimal digits: plans in the order of
/// their names, and the number of gateways.
pub fn fingerprint(settings: &Settings) -> String {
    let mut plans = settings.plans.clone();
    plans.sort_by(|a, b| a.name.cmp(&b.name));
    let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
    hasher.update(&(settings.gateway_count as u64).to_le_bytes());
    for plan in plans {
        hasher.update(&(plan.name.len() as u64).to_le_bytes());
        hasher.update(plan.name.as_bytes());
        let figures = [plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack];
        for figure in figures {
            hasher.update(&figure.to_le_bytes());
        }
    }
    hasher.finalize().to_hex()[..16].to_string()
}

/// A key of an operators' key file.
#[derive(Clone, PartialEq)]
pub struct Key {
    /// Its name in the file.
    pub name: String,
    bytes: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({}, {})", self.name, self.id())
    }
}

impl Key {
    /// A key of these bytes.
    pub fn new(name: &str, bytes: [u8; 32]) -> Key {
        Key { name: name.to_string(), bytes }
    }

    /// Its id: a hash that tells nothing of it.
    pub fn id(&self) -> String {
        let id = blake3::derive_key(KEY_ID_CONTEXT, &self.bytes);
        blake3::Hash::from_bytes(id).to_hex()[..16].to_string()
    }

    /// Its line in a key file.
    pub fn line(&self) -> String {
        format!("{} {}", self.name, blake3::Hash::from_bytes(self.bytes).to_hex())
    }

    /// Reads a key file: a name and 64 hexadecimal digits a line, `#` begins a comment. The first key signs;
    /// a second one is still accepted, while keys are exchanged.
    ///
    /// # Errors
    /// Each line that is no key; a file with none, or with more than two. The key itself is never shown.
    pub fn read(file: &str, text: &str) -> Result<Vec<Key>, Vec<Problem>> {
        let (mut keys, mut problems) = (Vec::new(), Vec::new());
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let read = line.split_once(char::is_whitespace).and_then(|(name, digits)| {
                let bytes = blake3::Hash::from_hex(digits.trim()).ok()?;
                Some(Key::new(name, *bytes.as_bytes()))
            });
            match read {
                Some(key) => keys.push(key),
                None => problems.push(Problem {
                    line: at + 1,
                    column: 1,
                    ..Problem::of_file(file, "no key", "a name, a space and 64 hexadecimal digits")
                }),
            }
        }
        if problems.is_empty() && (keys.is_empty() || keys.len() > MOST_KEYS) {
            problems.push(Problem::of_file(file, format!("{} keys", keys.len()), "one key, or two"));
        }
        if problems.is_empty() {
            Ok(keys)
        } else {
            Err(problems)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bundle(text: &str, files: &[(&str, &str)]) -> Bundle {
        let files = files.iter().map(|(name, content)| (name.to_string(), content.to_string())).collect();
        Bundle { name: "g.json".into(), text: text.into(), files }
    }

    #[test]
    fn a_tag_holds_for_one_bundle_and_one_key() {
        let (one, two) = (Key::new("one", [1; 32]), Key::new("two", [2; 32]));
        let signed = bundle("{}", &[("a", "x")]);
        let tag = signed.sign(&one);
        assert!(signed.signed_by(&tag, &[two.clone(), one.clone()]));
        assert!(!signed.signed_by(&tag, std::slice::from_ref(&two)), "a key that is not accepted");
        // A tag under the right id and of another key, a cut one, and one of another bundle.
        let forged = Tag { key: one.id(), tag: signed.sign(&two).tag };
        assert!(!signed.signed_by(&forged, std::slice::from_ref(&one)));
        assert!(
            !signed.signed_by(&Tag { tag: tag.tag[..62].into(), ..tag.clone() }, std::slice::from_ref(&one))
        );
        // The same bytes, cut elsewhere: a text must not move between parts.
        for other in [bundle("{}", &[("ax", "")]), bundle("{}a", &[("", "x")]), bundle("{} ", &[("a", "x")])]
        {
            assert!(!other.signed_by(&tag, std::slice::from_ref(&one)), "{other:?}");
            assert_ne!(other.digest(), signed.digest());
        }
    }

    #[test]
    fn a_key_file_is_read_and_never_shown() {
        let line = Key::new("west", [7; 32]).line();
        let keys = Key::read("keys", &format!("# of the office\n{line}\n\n{}", line.replace("west", "old")));
        assert_eq!(keys.expect("two keys").len(), 2);
        let problems = Key::read("keys", &format!("{line}\nwest 07\n")).expect_err("a short key");
        assert_eq!((problems[0].line, problems.len()), (2, 1));
        assert!(!format!("{problems:?}").contains("0707"));
        assert!(Key::read("keys", "").is_err());
        assert!(Key::read("keys", &[&line[..]; 3].join("\n")).is_err());
        assert!(!format!("{:?}", Key::new("west", [7; 32])).contains("0707"));
    }
}
