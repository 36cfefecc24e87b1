//! Rendezvous subsets: own failure domain first, few changes, even spread.

use cranberryridge_policy::subset::{choose, Member};

/// Creates members in two failure domains.
fn members(count: u32) -> Vec<Member<'static, u32>> {
    let domain = |key| if key % 2 == 0 { "tunis" } else { "sfax" };
    (0..count)
        .map(|key| Member {
            key,
            domain: domain(key),
        })
        .collect()
}

#[test]
fn takes_its_own_domain_first() {
    let chosen = choose("entry-1", "sfax", &members(40), 30);
    assert!(chosen[..20].iter().all(|key| key % 2 == 1));
    assert!(chosen[20..].iter().all(|key| key % 2 == 0));
}

#[test]
fn changes_one_member_when_one_goes() {
    let all = members(1000);
    let before = choose("entry-1", "sfax", &all, 64);
    let gone = before[10];
    let left = all.into_iter().filter(|member| member.key != gone);
    let after = choose("entry-1", "sfax", &left.collect::<Vec<_>>(), 64);
    let kept = after.iter().filter(|key| before.contains(key)).count();
    assert_eq!((kept, after.len()), (63, 64));
}

#[test]
fn spreads_choosers_evenly() {
    let all = members(100);
    let mut chosen = [0u32; 100];
    for entry in 0..200 {
        for key in choose(&format!("entry-{entry}"), "elsewhere", &all, 20) {
            chosen[key as usize] += 1;
        }
    }
    // Each member is expected in 40 of 200 subsets, with a standard deviation of 5.7.
    assert!(
        chosen.iter().all(|count| (12..=68).contains(count)),
        "{chosen:?}"
    );
}
