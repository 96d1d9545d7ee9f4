import pathlib

from hypothesis import example, given
from hypothesis import strategies as st

from pomeloarch_core.objects import Kind, SourceText, check_documents

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
TEXTS = [path.read_text() for path in sorted(EXAMPLES.glob("*/*.toml"))]
PIECES = [
    *(f"[[{kind.value}]]\n" for kind in Kind),
    *(f"[{kind.value}]\n" for kind in Kind),
    *(f"[[{kind.value}.{name}]]\n" for kind in Kind for name in ("a", "teams")),
    "name = ", '"a"', "'a'", '"""', "'''", "\\", "\n", "\r\n", "\r", "#",
    "[", "]", "{", "}", "[[", "]]", "=", ",", ".", '"', "'", "a.b.c = 1\n",
    "1e999", "-0", "nan", "inf", "0x" + "f" * 5_000, "9" * 5_000, "true",
    "1979-05-27", "floor_share = ", "teams = [", "weight = ", "\x00",
    "\ufeff", "é", "[" * 2_000, "{a=" * 500, "a." * 300,
]  # fmt: skip


def check_content(content):
    """Checks a file; each finding has a line of the file and a message."""
    answer = check_documents([SourceText("f.toml", content)])
    lines = content.count(b"\n") + content.count(b"\r") + 1
    for finding in answer.err() or []:
        assert finding.path == "f.toml"
        assert 1 <= finding.line <= lines
        assert finding.subject
        assert finding.message
        str(finding).encode("utf-8", errors="strict")
    return answer


@given(st.binary(max_size=300))
def test_any_bytes_give_objects_or_findings(content):
    check_content(content)


@given(st.lists(st.sampled_from(PIECES), max_size=30).map("".join))
@example('[[organisation]]\nname = """a\n\\"""\n[[organisation]]\n')
def test_any_pieces_of_toml_give_objects_or_findings(text):
    check_content(text.encode())


@given(st.data())
def test_a_changed_example_gives_objects_or_findings(data):
    text = data.draw(st.sampled_from(TEXTS))
    for _ in range(data.draw(st.integers(1, 3))):
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(len(text), start + 30)))
        piece = data.draw(st.sampled_from(["", *PIECES]))
        text = text[:start] + piece + text[end:]
    check_content(text.encode())


@given(st.data())
def test_a_wrong_value_is_found_at_its_own_line(data):
    """The lines that the scanner reports agree with those of the text."""
    text = data.draw(st.sampled_from(TEXTS))
    lines = text.splitlines()
    fields = [i for i, line in enumerate(lines) if " = " in line]
    index = data.draw(st.sampled_from(fields))
    key = lines[index].split(" = ")[0]
    lines[index] = f"{key} = 1979-05-27"
    filler = data.draw(
        st.sampled_from(["", "# [[organisation]]", "\n\n", "[[service]] # x"])
    )
    answer = check_content("\n".join([*lines, filler]).encode())
    wrong = [finding.line for finding in answer.unwrap_err()]
    assert index + 1 in wrong
