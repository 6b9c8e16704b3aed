"""Test the lookup of the route of a request."""

import orjson

from pomelopass.platform import configdecode
from pomelopass.requests import routes
from tests import entrybuilders

HOST = entrybuilders.HOST


class CountedPath(str):
    """Path that counts how often it is compared with a prefix."""

    __slots__ = ('count',)

    def __getitem__(self, index):
        self.count = getattr(self, 'count', 0) + 1
        return str(self)[index]

    def startswith(self, *arguments):
        self.count = getattr(self, 'count', 0) + 1
        return str(self).startswith(*arguments)


def make_configuration(prefixes):
    value = entrybuilders.make_configuration()
    template = value['routes'][1]
    value['routes'] = [
        {**template, 'name': str(number), 'path_prefix': prefix}
        for number, prefix in enumerate(prefixes)
    ]
    return configdecode.decode_configuration(orjson.dumps(value)).unwrap()


def find_name(configuration, path, host=HOST):
    route = routes.find_route(configuration, host, path)
    return route.name if route is not None else None


def test_longest_prefix_wins_and_the_first_of_equal_ones():
    configuration = make_configuration(['/', '/a/', '/a', '/a/', '/a/b'])
    for path, name in (
        ('/x', '0'),
        ('/a', '2'),
        ('/ab', '2'),
        ('/a/x', '1'),
        ('/a/bc', '4'),
        ('x', None),
    ):
        assert find_name(configuration, path) == name
    assert find_name(configuration, '/a/x', HOST.upper()) == '1'
    assert find_name(configuration, '/a/x', 'other.test') is None
    assert find_name(make_configuration(['']), '') == '0'


# Each request, and each check of a key before a send, looks its route up.
def test_lookup_does_not_grow_with_the_number_of_routes():
    counts = []
    for number in (10, 2000):
        prefixes = [f'/route-{index:04d}/' for index in range(number)]
        configuration = make_configuration(prefixes)
        for name, found in (('0009', '9'), ('none', None)):
            path = CountedPath(f'/route-{name}/x')
            assert find_name(configuration, path) == found
            counts.append(path.count)
    assert counts == [1] * 4
