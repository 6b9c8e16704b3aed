__all__ = ['ttypes', 'constants', 'TableRelay']
