"""Reads untrusted YAML into plain values and their line numbers."""

import dataclasses
from typing import Any

import yaml

MAX_NOTE_BYTES = 262_144
MAX_DEPTH = 20
MAPPING_TAG = yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG
SEQUENCE_TAG = yaml.resolver.BaseResolver.DEFAULT_SEQUENCE_TAG

NOT_UTF8 = 'The file is not UTF-8 text. Save it as UTF-8.'
TOO_LARGE = (
    f'The file is larger than {MAX_NOTE_BYTES} bytes.'
    ' Publish it as several notes.'
)
TOO_DEEP = f'The values are nested more than {MAX_DEPTH} levels deep.'
NOT_YAML = 'The file is not valid YAML: {problem}.'
DUPLICATE = 'The field {key!r} appears twice in this mapping. Remove one.'
ALIAS = 'Anchors and aliases are not supported. Write the value out.'
NOT_TEXT_KEY = 'The key of a mapping has to be text, not a list or a mapping.'
BAD_TAG = 'Tags on mappings and sequences are not supported. Remove the tag.'
BAD_SCALAR = 'The value can not be read. If it is text, put it in quotes.'

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoteProblem:
    """One problem in a note file.

    :param path: path of the value, such as ``changes[2].base``; empty for
        the whole file.
    :param reason: what is wrong.
    :param line: line in the file, from 1; 0 when it is unknown.
    :param hint: how the operator can fix it.
    """

    path: str
    reason: str
    line: int = 0
    hint: str = ''


@dataclasses.dataclass(slots=True)
class Source:
    """The values of a YAML file, their lines, and the problems found.

    :param lines: line numbers by path of the value, from 1.
    """

    content: Any = None
    problems: list[NoteProblem] = dataclasses.field(default_factory=list)
    lines: dict[Path, int] = dataclasses.field(default_factory=dict)

    def line(self, path: Path) -> int:
        """Return the line of a value, or of the nearest value around it.

        :returns: the line, from 1; 0 when it is unknown.
        """
        for end in range(len(path), -1, -1):
            line = self.lines.get(path[:end])
            if line is not None:
                return line
        return 0

    def add_problem(self, path: Path, reason: str, hint: str = '') -> None:
        """Record a problem with the value at a path."""
        problem = NoteProblem(format_path(path), reason, self.line(path), hint)
        self.problems.append(problem)


def format_path(path: Path) -> str:
    """Format a path for the operator, such as ``changes[2].base``."""
    text = ''
    for step in path:
        if isinstance(step, int):
            text = f'{text}[{step}]'
        else:
            text = f'{text}.{step}' if text else step
    return text


def read_yaml(raw: bytes) -> Source:
    """Read one YAML document.

    :returns: its values and all problems found.
    """
    source = Source()
    if len(raw) > MAX_NOTE_BYTES:
        source.add_problem((), TOO_LARGE)
        return source
    try:
        root = yaml.compose(raw.decode('utf-8-sig'), Loader=yaml.SafeLoader)
    except UnicodeDecodeError:
        source.add_problem((), NOT_UTF8)
    except RecursionError:
        source.add_problem((), TOO_DEEP)
    except yaml.YAMLError as error:
        source.problems.append(_syntax_problem(error))
    else:
        source.content = _Reader(source).read(root, ())
    return source


def _syntax_problem(error: yaml.YAMLError) -> NoteProblem:
    # Leaves out the snippet of the file that PyYAML adds: it could contain
    # a key.
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or type(error).__name__
    line = mark.line + 1 if mark else 0
    return NoteProblem('', NOT_YAML.format(problem=problem), line)


class _Reader:
    """Converts YAML nodes into plain values and records their lines.

    Aliases are rejected: nested ones can expand to a value of any size, or
    refer to themselves.
    """

    def __init__(self, source: Source) -> None:
        self._source = source
        self._scalars = yaml.constructor.SafeConstructor()
        self._visited: set[int] = set()

    def read(self, node: yaml.Node | None, path: Path) -> Any:
        if node is None:
            return None
        self._source.lines.setdefault(path, node.start_mark.line + 1)
        if id(node) in self._visited:
            self._source.add_problem(path, ALIAS)
            return None
        self._visited.add(id(node))
        if len(path) > MAX_DEPTH:
            self._source.add_problem((), TOO_DEEP)
            return None
        match node:
            case yaml.MappingNode(tag=tag) if tag == MAPPING_TAG:
                return self._read_mapping(node, path)
            case yaml.SequenceNode(tag=tag) if tag == SEQUENCE_TAG:
                return [
                    self.read(child, (*path, index))
                    for index, child in enumerate(node.value)
                ]
        return self._read_scalar(node, path)

    def _read_mapping(
        self, node: yaml.MappingNode, path: Path
    ) -> dict[str, Any]:
        content: dict[str, Any] = {}
        for key_node, child in node.value:
            key = key_node.value
            if not isinstance(key, str):
                self._source.add_problem(path, NOT_TEXT_KEY)
                continue
            if key in content:
                self._source.lines[(*path, key)] = key_node.start_mark.line + 1
                self._source.add_problem(
                    (*path, key), DUPLICATE.format(key=key)
                )
            content[key] = self.read(child, (*path, key))
        return content

    def _read_scalar(self, node: yaml.Node, path: Path) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            self._source.add_problem(path, BAD_TAG)
            return None
        try:
            return self._scalars.construct_object(node)
        except (yaml.YAMLError, ValueError, ArithmeticError):
            self._source.add_problem(path, BAD_SCALAR)
            return None
