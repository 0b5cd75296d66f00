//! Keys in the store.

/// Everything that is watched: claims, members, requests of operators, the switch.
pub const CONTROL_PREFIX: &str = "duty/";
/// Claims on duties.
pub const CLAIM_PREFIX: &str = "duty/claim/";
/// Members that are up.
pub const MEMBER_PREFIX: &str = "duty/member/";
/// Members that have once run a version which knows duties.
pub const VERSION_PREFIX: &str = "duty/version/";
/// Operators' requests to move a duty.
pub const MOVE_PREFIX: &str = "duty/move/";
/// Recorded once, when duties take over from the claim that carried them all before.
pub const SWITCH: &str = "duty/switch";
/// Operation logs. They are read by their holders only, so they are not under the watched prefix.
pub const LOG_PREFIX: &str = "duty-log/";

/// Key of the claim on a duty.
pub fn claim(duty: &str) -> String {
    format!("{CLAIM_PREFIX}{duty}")
}

/// Key of a member's record.
pub fn member(member: &str) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// Key that shows that a member supports duties.
pub fn version(member: &str) -> String {
    format!("{VERSION_PREFIX}{member}")
}

/// Key of an operator's request to move a duty.
pub fn move_request(duty: &str) -> String {
    format!("{MOVE_PREFIX}{duty}")
}

/// Key of a duty's operation log.
pub fn log(duty: &str) -> String {
    format!("{LOG_PREFIX}{duty}")
}
