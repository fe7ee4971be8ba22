"""Items of a snapshot that cannot be used."""

from flamingolift_front.viewsync import UNREADABLE, apply_snapshot
from flamingolift_front.viewupdates import decode_update, encode_update
from frontviews import make_entry, make_policy


# Guards against a full read that drops the policy in force, so that peers get none.
async def test_last_valid_document_of_an_unreadable_item_stays(new_front, change):
    policy, entry = make_policy(3, 5), make_entry(1)
    documents = {"policy": policy, "instances/front-1": entry}
    front = new_front([change(key, doc, 10) for key, doc in documents.items()])
    unreadable = [change(key, UNREADABLE, 11) for key in [*documents, "instances/x"]]
    apply_snapshot(front, unreadable, 12)
    assert front.view.documents == documents
    assert front.view.instances == {"front-1": entry}
    update = decode_update(encode_update(front.view, -1, 0), None)
    assert {c.key: c.document for c in update.changes} == documents
    apply_snapshot(front, [], 13)
    assert front.view.documents == {}
