//! Texts of errors that name what a peer has sent.

/// Most bytes of a request that an error names.
const MAX_TEXT_BYTES: usize = 1_000;

/// Cuts a text that repeats what a peer has sent, so that a response is not as large as its request.
///
/// ```
/// use greengagearch::process::inbound::error_text::bounded_text;
///
/// assert_eq!(bounded_text("steps: give at least one".to_string()), "steps: give at least one");
/// assert!(bounded_text("ä".repeat(100_000)).len() <= 1_003);
/// ```
pub fn bounded_text(mut text: String) -> String {
    if text.len() > MAX_TEXT_BYTES {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        text.push('…');
        text.shrink_to_fit();
    }
    text
}
