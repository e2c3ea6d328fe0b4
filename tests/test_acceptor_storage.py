"""The file in which an acceptor persists its ballot."""

import pytest

from lotusroute.fleet import acceptor_storage


def test_the_last_ballot_that_was_stored_completely_is_loaded(tmp_path):
    assert acceptor_storage.load(tmp_path) == 0
    acceptor_storage.store(tmp_path, 1024)
    acceptor_storage.store(tmp_path, 2048)
    assert acceptor_storage.load(tmp_path) == 2048
    # A crash during the next write leaves an incomplete temporary file.
    (tmp_path / "promised.new").write_text("40")
    assert acceptor_storage.load(tmp_path) == 2048


def test_a_corrupt_ballot_file_is_an_error(tmp_path):
    acceptor_storage.store(tmp_path, 2048)
    (tmp_path / acceptor_storage.FILE_NAME).write_text("2049 00000000\n")
    text = r"corrupt: expected .*, read '2049 00000000\\n'; restore a backup"
    with pytest.raises(acceptor_storage.CorruptBallotFileError, match=text):
        acceptor_storage.load(tmp_path)
