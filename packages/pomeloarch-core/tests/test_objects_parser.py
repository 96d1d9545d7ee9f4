import pytest

from pomeloarch_core.objects import (
    SourceText,
    check_documents,
    parse_documents,
)
from pomeloarch_core.objects.parser import MAX_FILE_BYTES, MAX_FINDINGS

ORGANISATION = '[[organisation]]\nname = "a"\n'


def check_text(text):
    content = text if isinstance(text, bytes) else text.encode()
    answer = check_documents([SourceText("f.toml", content)])
    return [str(finding) for finding in answer.err() or []]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (ORGANISATION + 'wieght = 1\nquota_accelerators = "x"', [
            "f.toml:3: organisation/a: unknown field 'wieght'; "
            "did you mean 'weight'?",
            "f.toml:4: organisation/a: quota_accelerators is 'x': "
            "expected int, got str",
        ]),
        (ORGANISATION + 'name = "b"', [
            "f.toml:3: organisation/a: not TOML: Cannot overwrite a value "
            "(column 11)",
        ]),
        (ORGANISATION + ORGANISATION, [
            "f.toml:4: organisation/a: the name is taken by f.toml:1; "
            "rename or remove one of the two",
        ]),
        ("[[organization]]\nname = 'a'", [
            "f.toml:1: file: unknown kind 'organization'; "
            "did you mean 'organisation'?",
        ]),
        ("weight = 1\n" + ORGANISATION, [
            "f.toml:1: file: 'weight' stands above every header; "
            "put it below one, such as [[organisation]]",
        ]),
        ("[organisation]\nname = 'a'\n[organisation]\nname = 'b'", [
            "f.toml:3: file: [organisation] stands here for the second time; "
            "write [[organisation]] for each",
        ]),
        ("[[organisation.teams]]\nname = 'a'", [
            "f.toml:1: file: a table of organisation stands before its "
            "header; put it below [[organisation]]",
        ]),
        ("[[organisation]]\nweight = 1.0", [
            "f.toml:1: organisation/?: field name must be given",
        ]),
        ("[[organisation]]\nname = 'A b'", [
            "f.toml:2: organisation/A b: name is 'A b': must be 1 to 63 "
            "lower-case letters, digits and hyphens, and begin with a "
            "letter or digit",
        ]),
        (ORGANISATION + 'teams = [\n {name="t", quota_accelerators=1},\n'
         ' {name="u", quota_accelerators=0},\n]', [
            "f.toml:5: organisation/a: teams[1].quota_accelerators is 0: "
            "expected int >= 1",
        ]),
        (ORGANISATION + "[[organisation.teams]]\nname = 't'\n"
         "quota_accelerators = '''\n[[x]]\n'''\nnmae = 1", [
            "f.toml:5: organisation/a: teams[0].quota_accelerators is "
            "'[[x]]\\n': expected int, got str",
            "f.toml:8: organisation/a: unknown field 'nmae'; "
            "did you mean 'name'?",
        ]),
        (ORGANISATION + "weight = nan", [
            "f.toml:3: organisation/a: weight must be a number, not nan",
        ]),
        (ORGANISATION + "weight = 0x" + "f" * 9_000, [
            "f.toml:3: organisation/a: weight is a very large int: "
            "Number out of range",
        ]),
        (ORGANISATION + "weight = " + "9" * 5_000, [
            "f.toml:1: organisation/a: a number has too many digits",
        ]),
        (ORGANISATION + "weight = " + "[" * 9_000, [
            "f.toml:1: organisation/a: tables and lists are nested too deeply",
        ]),
        (ORGANISATION + "a." * 20_000 + "a = 1", [
            "f.toml:3: organisation/a: a dotted key has more than 8 parts",
        ]),
        (ORGANISATION + 'x = {y = 1.5, "a"' + '."a"' * 9_000 + " = 1}", [
            "f.toml:3: organisation/a: a dotted key has more than 8 parts",
        ]),
        (b"a = 1\n\xff\xfe", [
            "f.toml:2: file: the file is not UTF-8; save it as UTF-8",
        ]),
        (b"#" * 10_000_000, [
            f"f.toml:1: file: the file is larger than {MAX_FILE_BYTES:,} "
            "bytes; split it into smaller files",
        ]),
        ("!!", ["f.toml:1: file: the text is not TOML"]),
        ("", []),
    ],
)  # fmt: skip
def test_every_error_is_reported_at_its_line(text, expected):
    assert check_text(text) == expected


def test_errors_of_several_files_are_reported_together():
    texts = [
        SourceText("a.toml", b"[[organisation]]\nname = 1\n[[job_class]]\n"),
        SourceText("b.toml", b"[[service]]\nx = {\n[[worker_pool]]\ny = 1"),
    ]
    findings = parse_documents(texts).unwrap_err()
    assert {(finding.path, finding.line) for finding in findings} == {
        ("a.toml", 2),
        ("a.toml", 3),
        ("b.toml", 2),
        ("b.toml", 3),
        ("b.toml", 4),
    }


def test_the_number_of_findings_is_limited():
    findings = check_text("[[organisation]]\nweight = 1.0\n" * 30_000)
    assert len(findings) == MAX_FINDINGS + 1
    truncation_finding = (
        "f.toml:1999: file: more findings may follow; mend the others"
    )
    assert findings.count(truncation_finding) == 1
